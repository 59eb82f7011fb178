// Package dynamo is the client of the platform's table service, which speaks
// the DynamoDB protocol. Rows stand in one table with the key attributes pk
// and sk, a number ver and a binary body.
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

// TableName is the one table that the system uses.
const TableName = "vanillagate"

// Attributes of a row.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrVersion   = "ver"
	attrBody      = "body"
)

// MaxWrites is how many rows one transaction may write.
const MaxWrites = 100

// Table is a backing.Table over the DynamoDB protocol.
type Table struct{ client *dynamodb.Client }

var _ backing.Table = (*Table)(nil)

// New builds a Table. It makes no connection yet.
func New(cfg backing.StoreConfig) *Table {
	return &Table{client: dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(cfg.URL),
		Region:       cfg.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		// The SDK would send a write again by itself. Whether that is safe is
		// for the caller to decide, who knows the write's own identity.
		Retryer:    aws.NopRetryer{},
		HTTPClient: backing.NewHTTPClient(cfg.HTTP),
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
		return nil, outcome("get", err)
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
			return nil, outcome("scan", err)
		}
		for _, item := range out.Items {
			row, err := rowOf(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, *row)
		}
		// A page may end early, by its size in bytes, with more to come.
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
		return nil, fmt.Errorf("dynamo: %d writes in one transaction: %w", len(writes), backing.ErrNotRun)
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
	return nil, outcome("commit", err)
}

const conditionFailed = "ConditionalCheckFailed"

// conflictsOf reads why a transaction was cancelled. A cancelled transaction
// wrote nothing, whatever the reason.
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

// rowOf reads a row. A row that isn't ours is an error of unknown effect: it
// says nothing about what was written.
func rowOf(item map[string]types.AttributeValue) (*backing.Row, error) {
	partition, ok1 := item[attrPartition].(*types.AttributeValueMemberS)
	sort, ok2 := item[attrSort].(*types.AttributeValueMemberS)
	version, ok3 := item[attrVersion].(*types.AttributeValueMemberN)
	if !ok1 || !ok2 || !ok3 {
		return nil, fmt.Errorf("dynamo: row without pk, sk or ver: %w", backing.ErrUnknown)
	}
	number, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("dynamo: row with version %q: %w", version.Value, backing.ErrUnknown)
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

// outcome tells a call that certainly had no effect from one that may have had
// it. A 4xx answer is a refusal; a 5xx may come after the write.
func outcome(call string, err error) error {
	if errors.Is(err, backing.ErrNotRun) {
		return fmt.Errorf("dynamo: %s: %w", call, err)
	}
	var inProgress *types.TransactionInProgressException
	if errors.As(err, &inProgress) {
		return fmt.Errorf("dynamo: %s: %w: %w", call, backing.ErrUnknown, err)
	}
	var answer *smithyhttp.ResponseError
	if errors.As(err, &answer) && isRefusal(answer.HTTPStatusCode()) {
		return fmt.Errorf("dynamo: %s: %w: %w", call, backing.ErrNotRun, err)
	}
	return fmt.Errorf("dynamo: %s: %w: %w", call, backing.ErrUnknown, err)
}

func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
