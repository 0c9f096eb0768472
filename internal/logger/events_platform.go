package logger

// Events 500 to 599.
var platformEvents = []Event{}
