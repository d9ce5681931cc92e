package main

import "C" // links the program to the C library, as the platform's machines need
