package logger

// Events 200 to 299.
var distributionEvents = []Event{}
