package main

func Example() {
	main()
	// Output:
	// host-0 runs the call
	// host-1 must not run it: STATE_HELD
}
