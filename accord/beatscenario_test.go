package main

// placeBeatNode gives a daemon of the users' platform its place.
func placeBeatNode(p *place, site beatSite, side bool) {}

func evAskOf(c beatCall) evAsk { return evAsk{Op: c.op, Key: c.key, Body: c.body} }
