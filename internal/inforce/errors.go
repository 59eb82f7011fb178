package inforce

import "errors"

// errNoConfiguration is the answer to a peer while this process itself has no fresh
// configuration.
var errNoConfiguration = errors.New("inforce: this process has no current configuration")
