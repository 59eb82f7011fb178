package table

import (
	"encoding/json"

	"github.com/vanillagate/vanillagate/internal/standin/count"
)

// action is one validated write, or one condition check, of a request.
type action struct {
	key       key
	condition condition
	returnOld bool
	checkOnly bool
	put       Item // nil deletes
}

func putAction(r *putRequest) (action, *failure) {
	if f := checkTable(r.TableName); f != nil {
		return action{}, f
	}
	k, f := checkItem(r.Item)
	if f != nil {
		return action{}, f
	}
	cond, f := r.guard.parse()
	return action{key: k, condition: cond, returnOld: r.returnOld(), put: r.Item}, f
}

func keyAction(r *keyedAction, checkOnly bool) (action, *failure) {
	if f := checkTable(r.TableName); f != nil {
		return action{}, f
	}
	k, f := checkKey(r.Key)
	if f != nil {
		return action{}, f
	}
	cond, f := r.guard.parse()
	return action{key: k, condition: cond, returnOld: r.returnOld(), checkOnly: checkOnly}, f
}

func (g guard) returnOld() bool { return g.ReturnValuesOnConditionCheckFailure == allOld }

func (i transactItem) action() (action, *failure) {
	switch {
	case i.Put != nil:
		return putAction(i.Put)
	case i.Delete != nil:
		return keyAction(i.Delete, false)
	case i.ConditionCheck != nil:
		return keyAction(i.ConditionCheck, true)
	}
	return action{}, fail(codeValidation, "Only Put, Delete and ConditionCheck are supported by this stand-in")
}

// fingerprint returns a hash of the request that doesn't depend on the order in
// which the client wrote the attributes.
func (r transactRequest) fingerprint() string {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: the request was decoded from JSON
	}
	return count.Fingerprint(raw)
}

// actions validates a transaction and returns its actions.
func (r transactRequest) actions() ([]action, *failure) {
	if len(r.TransactItems) == 0 || len(r.TransactItems) > maxActions {
		return nil, fail(codeValidation, "Member must have length between 1 and %d, has %d", maxActions, len(r.TransactItems))
	}
	if len(r.ClientRequestToken) > maxTokenLength {
		return nil, fail(codeValidation, "ClientRequestToken must have length less than or equal to %d", maxTokenLength)
	}
	actions := make([]action, 0, len(r.TransactItems))
	seen := map[key]bool{}
	for _, item := range r.TransactItems {
		a, f := item.action()
		if f != nil {
			return nil, f
		}
		if seen[a.key] {
			return nil, fail(codeValidation, "Transaction request cannot include multiple operations on one item")
		}
		seen[a.key] = true
		actions = append(actions, a)
	}
	return actions, nil
}
