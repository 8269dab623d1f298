package main

// import "C" links the program with the C library of its VM, which the platform requires.

import "C"
