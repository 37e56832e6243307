package main

func Example() {
	main()
	// Output:
	// true questions pedal
	// place on engine-1
}
