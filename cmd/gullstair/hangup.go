//go:build cgo

package main

import "C" // compiles hangup.c
