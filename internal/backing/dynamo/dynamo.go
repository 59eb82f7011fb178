// Package dynamo is a client for the platform's table service, which implements
// the DynamoDB protocol. All rows are in one table with the key attributes pk and
// sk, a number ver and a binary body.
package dynamo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/vanillagate/vanillagate/internal/backing"
)

// TableName is the name of the table for all rows of the system.
const TableName = "vanillagate"

// Attributes of a row.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "ver"
	attrBody      = "body"
)

// maxAnswerBytes limits an answer. The service sends at most 1 MB of rows.
const maxAnswerBytes = 16 << 20

// MaxWrites is the maximum number of writes per transaction.
const MaxWrites = 100

// Table is a backing.Table over the DynamoDB protocol.
type Table struct{ client *dynamodb.Client }

var _ backing.Table = (*Table)(nil)

// New returns a Table. It does not connect yet.
func New(cfg backing.StoreConfig) *Table {
	return &Table{client: dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.URL),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		// The SDK would retry writes by itself. Whether that is safe is for the caller
		// to decide, who can tell whether the first attempt took effect.
		Retryer:    aws.NopRetryer{},
		HTTPClient: backing.NewHTTPClient(cfg.HTTP, maxAnswerBytes),
	})}
}

// Get implements backing.Table.
func (t *Table) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(TableName),
		Key:            keyOf(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return nil, classifyError("get", err)
	}
	if len(out.Item) == 0 {
		return nil, nil
	}
	return rowOf(out.Item)
}

// Scan implements backing.Table.
func (t *Table) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	var rows []backing.Row
	var from map[string]types.AttributeValue
	for len(rows) < limit {
		out, err := t.query(ctx, partition, after, limit-len(rows), from)
		if err != nil {
			return nil, classifyError("scan", err)
		}
		for _, item := range out.Items {
			row, err := rowOf(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, *row)
		}
		// A page may have fewer rows than the limit because of its size in bytes.
		from = out.LastEvaluatedKey
		if len(from) == 0 {
			break
		}
	}
	return rows, nil
}

func (t *Table) query(ctx context.Context, partition, after string, limit int, from map[string]types.AttributeValue) (*dynamodb.QueryOutput, error) {
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(TableName),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("pk = :p"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": text(partition)},
		Limit:                     aws.Int32(int32(limit)),
		ExclusiveStartKey:         from,
	}
	if after != "" {
		in.KeyConditionExpression = aws.String("pk = :p AND sk > :a")
		in.ExpressionAttributeValues[":a"] = text(after)
	}
	return t.client.Query(ctx, in)
}

// Commit implements backing.Table.
func (t *Table) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	if len(writes) == 0 {
		return nil, nil
	}
	if len(writes) > MaxWrites {
		return nil, fmt.Errorf("dynamo: too many writes in one transaction (%d): %w", len(writes), backing.ErrNotRun)
	}
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		items = append(items, itemOf(w))
	}
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err == nil {
		return nil, nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return conflictsOf(writes, cancelled)
	}
	return nil, classifyError("commit", err)
}

const conditionFailed = "ConditionalCheckFailed"

// conflictsOf returns the failed conditions of a cancelled transaction. A cancelled
// transaction wrote nothing, whatever the reason.
func conflictsOf(writes []backing.Write, cancelled *types.TransactionCanceledException) ([]backing.Conflict, error) {
	var conflicts []backing.Conflict
	for i, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) != conditionFailed || i >= len(writes) {
			continue
		}
		conflict := backing.Conflict{Index: i}
		if len(reason.Item) > 0 {
			row, err := rowOf(reason.Item)
			if err != nil {
				return nil, err
			}
			conflict.Found = row
		}
		conflicts = append(conflicts, conflict)
	}
	if len(conflicts) == 0 {
		return nil, fmt.Errorf("dynamo: commit: %w: %w", backing.ErrNotRun, cancelled)
	}
	return conflicts, nil
}

func itemOf(w backing.Write) types.TransactWriteItem {
	condition, values := conditionOf(w)
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                           aws.String(TableName),
			Key:                                 keyOf(w.Row.Key),
			ConditionExpression:                 condition,
			ExpressionAttributeValues:           values,
			ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                           aws.String(TableName),
		Item:                                attributesOf(w),
		ConditionExpression:                 condition,
		ExpressionAttributeValues:           values,
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}}
}

func conditionOf(w backing.Write) (*string, map[string]types.AttributeValue) {
	switch w.If {
	case backing.IfAbsent:
		return aws.String("attribute_not_exists(pk)"), nil
	case backing.IfVersion:
		return aws.String("ver = :v"), map[string]types.AttributeValue{":v": number(w.Version)}
	default:
		return nil, nil
	}
}

func keyOf(key backing.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attrPartition: text(key.Partition), attrSort: text(key.Sort)}
}

func attributesOf(w backing.Write) map[string]types.AttributeValue {
	item := keyOf(w.Row.Key)
	item[attrVersion] = number(backing.NextVersion(w))
	item[attrBody] = &types.AttributeValueMemberB{Value: w.Row.Body}
	return item
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

// rowOf decodes a row. A row in another layout gives ErrUnknown, since it does not
// show whether a write took effect.
func rowOf(item map[string]types.AttributeValue) (*backing.Row, error) {
	partition, ok1 := item[attrPartition].(*types.AttributeValueMemberS)
	sort, ok2 := item[attrSort].(*types.AttributeValueMemberS)
	version, ok3 := item[attrVersion].(*types.AttributeValueMemberN)
	if !ok1 || !ok2 || !ok3 {
		return nil, fmt.Errorf("dynamo: row without pk, sk or ver: %w", backing.ErrUnknown)
	}
	number, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("dynamo: row with invalid version %q: %w", version.Value, backing.ErrUnknown)
	}
	row := &backing.Row{Key: backing.Key{Partition: partition.Value, Sort: sort.Value}, Version: number}
	switch body := item[attrBody].(type) {
	case *types.AttributeValueMemberB:
		row.Body = body.Value
	case *types.AttributeValueMemberS:
		row.Body = []byte(body.Value)
	}
	return row, nil
}

// classifyError wraps the error of a call with ErrNotRun if the call certainly had
// no effect, and with ErrUnknown otherwise. A call answered with a 4xx status was
// rejected; a 5xx status may follow a write that took effect.
func classifyError(call string, err error) error {
	if errors.Is(err, backing.ErrNotRun) {
		return fmt.Errorf("dynamo: %s: %w", call, err)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return fmt.Errorf("dynamo: %s: %w: %w", call, backing.ErrUnknown, err)
	}
	var respErr *smithyhttp.ResponseError
	if errors.As(err, &respErr) && isClientError(respErr.HTTPStatusCode()) {
		return fmt.Errorf("dynamo: %s: %w: %w", call, backing.ErrNotRun, err)
	}
	return fmt.Errorf("dynamo: %s: %w: %w", call, backing.ErrUnknown, err)
}

func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
