package table

import (
	"fmt"
	"math/big"
	"strings"
)

// Name is the name of the only table.
const Name = "vanillagate"

// Limits of the real service, and constants of its protocol.
const (
	maxActions     = 100
	maxItemBytes   = 400 << 10
	maxPageBytes   = 1 << 20
	maxTokenLength = 36
	typePrefix     = "com.amazonaws.dynamodb.v20120810#"
	targetPrefix   = "DynamoDB_20120810."
	contentType    = "application/x-amz-json-1.0"
	allOld         = "ALL_OLD"
)

// Error codes, and codes of the reasons why a transaction was cancelled.
const (
	codeValidation       = "ValidationException"
	codeNoTable          = "ResourceNotFoundException"
	codeThrottled        = "ProvisionedThroughputExceededException"
	codeCondition        = "ConditionalCheckFailedException"
	codeCancelled        = "TransactionCanceledException"
	codeTokenMismatch    = "IdempotentParameterMismatchException"
	codeUnknownOperation = "UnknownOperationException"
	codeSerialization    = "SerializationException"
	codeUnavailable      = "InternalServerError"
	reasonNone           = "None"
	reasonConditionFail  = "ConditionalCheckFailed"
)

// failure is an error response of the protocol.
type failure struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Item    Item     `json:"Item,omitempty"`
	Reasons []reason `json:"CancellationReasons,omitempty"`

	status int
}

// reason is the result of one action of a cancelled transaction.
type reason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
	Item    Item   `json:"Item,omitempty"`
}

func fail(code, format string, args ...any) *failure {
	return &failure{Type: typePrefix + code, Message: fmt.Sprintf(format, args...), status: 400}
}

type getRequest struct {
	TableName      string
	Key            Item
	ConsistentRead bool
}

type getAnswer struct {
	Item Item `json:"Item,omitempty"`
}

// guard holds the condition fields that every kind of write may have.
type guard struct {
	ConditionExpression                 string
	ExpressionAttributeNames            map[string]string
	ExpressionAttributeValues           map[string]Attribute
	ReturnValuesOnConditionCheckFailure string
}

func (g guard) parse() (condition, *failure) {
	c, err := parse(g.ConditionExpression, placeholders{names: g.ExpressionAttributeNames, values: g.ExpressionAttributeValues})
	if err != nil {
		return nil, fail(codeValidation, "Invalid ConditionExpression: %s", err)
	}
	return c, nil
}

type putRequest struct {
	TableName string
	Item      Item
	guard
}

type keyedAction struct {
	TableName string
	Key       Item
	guard
}

type transactItem struct {
	Put            *putRequest
	Delete         *keyedAction
	ConditionCheck *keyedAction
	Update         *keyedAction
}

type transactRequest struct {
	TransactItems      []transactItem
	ClientRequestToken string
}

type queryRequest struct {
	TableName                 string
	KeyConditionExpression    string
	FilterExpression          string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]Attribute
	ConsistentRead            bool
	ScanIndexForward          *bool
	Limit                     *int
	ExclusiveStartKey         Item
}

type queryAnswer struct {
	Items            []Item `json:"Items"`
	Count            int    `json:"Count"`
	ScannedCount     int    `json:"ScannedCount"`
	LastEvaluatedKey Item   `json:"LastEvaluatedKey,omitempty"`
}

type emptyAnswer struct{}

func (k key) item() Item {
	return Item{attributePartition: {S: &k.partition}, attributeSort: {S: &k.sort}}
}

func checkTable(name string) *failure {
	if name != Name {
		return fail(codeNoTable, "Requested resource not found: Table: %s not found", name)
	}
	return nil
}

// checkKey validates the Key of a request, which must hold the key attributes and
// no others.
func checkKey(i Item) (key, *failure) {
	k, ok := keyOf(i)
	if !ok || len(i) != 2 {
		return key{}, fail(codeValidation, "The provided key element does not match the schema")
	}
	return k, nil
}

// checkItem validates an item to put and returns its key.
func checkItem(i Item) (key, *failure) {
	k, ok := keyOf(i)
	if !ok {
		return key{}, fail(codeValidation, "One or more parameter values were invalid: Missing or empty key pk or sk in the item")
	}
	for name, a := range i {
		if a.N == nil {
			continue
		}
		if _, ok := new(big.Rat).SetString(*a.N); !ok {
			return key{}, fail(codeValidation, "A value provided cannot be converted into a number: %s", name)
		}
	}
	if i.size() > maxItemBytes {
		return key{}, fail(codeValidation, "Item size has exceeded the maximum allowed size")
	}
	return k, nil
}

// cancelled returns the error of a transaction of which at least one condition
// failed; reasons has one entry per action.
func cancelled(reasons []reason) *failure {
	codes := make([]string, len(reasons))
	for i, r := range reasons {
		codes[i] = r.Code
	}
	f := fail(codeCancelled, "Transaction cancelled, please refer cancellation reasons for specific reasons [%s]", strings.Join(codes, ", "))
	f.Reasons = reasons
	return f
}
