package main

const (
	getShort = "print the tables in force"
	getLong  = "Prints the tables in force as one JSON document with its revision. Saved to a file and edited, the document can be given to apply, which then refuses it if another edit was accepted meanwhile."
)

type getCommand struct {
	*command `no-flag:"yes"`
}

// Execute prints the tables.
func (com *getCommand) Execute([]string) error {
	tab, err := com.newRequester().Tables(com.ctx)
	if err != nil {
		return err
	}
	return com.printJSON(tab)
}
