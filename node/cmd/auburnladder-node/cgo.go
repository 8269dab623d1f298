package main

// import "C" links the program with the C library of its VM, as the platform asks.

import "C"
