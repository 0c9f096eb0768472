package logger

// Events 400 to 499.
var requestEvents = []Event{}
