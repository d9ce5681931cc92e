package relay

func regionOptions(int) []Option { return nil }
