package main

import "C" // links the binary against the C library, which the machines of the platform require
