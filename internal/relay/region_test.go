package relay

func regionOptions(int) []Option { return []Option{WithPresentRows(operatorTable, hostsTable)} }
