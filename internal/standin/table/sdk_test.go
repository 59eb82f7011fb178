package table

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/gate"
)

type fixture struct {
	client *dynamodb.Client
	faults *fault.Set
	table  *Table
}

func open(t *testing.T, rates Rates) fixture {
	t.Helper()
	f := fixture{faults: fault.NewSet(1), table: New(rates)}
	g, err := gate.Open("127.0.0.1:0", Handler{Table: f.table, Faults: f.faults})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, g.Stop()) })
	f.client = dynamodb.New(dynamodb.Options{
		Region:           "r1",
		BaseEndpoint:     aws.String("http://" + g.Address()),
		Credentials:      credentials.NewStaticCredentialsProvider("id", "secret", ""),
		HTTPClient:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		RetryMaxAttempts: 1,
	})
	return f
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func version(n int) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.Itoa(n)}
}

func row(pk, sk string, ver int) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		"pk": text(pk), "sk": text(sk), "ver": version(ver), "body": &types.AttributeValueMemberB{Value: []byte{0, 255}},
	}
}

func insert(pk, sk string) types.TransactWriteItem {
	return types.TransactWriteItem{Put: &types.Put{
		TableName: aws.String(Name), Item: row(pk, sk, 1),
		ConditionExpression:                 aws.String("attribute_not_exists(pk)"),
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}}
}

func replace(pk, sk string, old int) types.TransactWriteItem {
	return types.TransactWriteItem{Put: &types.Put{
		TableName: aws.String(Name), Item: row(pk, sk, old+1),
		ConditionExpression:       aws.String("ver = :ver"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":ver": version(old)},
	}}
}

func (f fixture) commit(token string, items ...types.TransactWriteItem) error {
	in := &dynamodb.TransactWriteItemsInput{TransactItems: items}
	if token != "" {
		in.ClientRequestToken = aws.String(token)
	}
	_, err := f.client.TransactWriteItems(context.Background(), in)
	return err
}

func (f fixture) get(t *testing.T, pk, sk string) map[string]types.AttributeValue {
	t.Helper()
	out, err := f.client.GetItem(context.Background(), &dynamodb.GetItemInput{
		TableName: aws.String(Name), ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{"pk": text(pk), "sk": text(sk)},
	})
	assert.NilError(t, err)
	return out.Item
}

func TestTransactionWritesAllOrNothing(t *testing.T) {
	f := open(t, Rates{})
	assert.NilError(t, f.commit("", insert("p", "1"), insert("p", "2")))
	assert.DeepEqual(t, f.get(t, "p", "1")["body"].(*types.AttributeValueMemberB).Value, []byte{0, 255})

	err := f.commit("", insert("p", "3"), replace("p", "1", 1), insert("p", "2"))
	var cancelled *types.TransactionCanceledException
	assert.Assert(t, errors.As(err, &cancelled), "%v", err)
	var codes []string
	for _, r := range cancelled.CancellationReasons {
		codes = append(codes, *r.Code)
	}
	assert.DeepEqual(t, codes, []string{"None", "None", "ConditionalCheckFailed"})
	assert.Equal(t, cancelled.CancellationReasons[2].Item["sk"].(*types.AttributeValueMemberS).Value, "2")
	assert.Equal(t, len(f.get(t, "p", "3")), 0)
	assert.Equal(t, f.get(t, "p", "1")["ver"].(*types.AttributeValueMemberN).Value, "1")
}

func TestDeleteAndConditionCheck(t *testing.T) {
	f := open(t, Rates{})
	assert.NilError(t, f.commit("", insert("p", "1"), insert("p", "2")))
	k := func(sk string) map[string]types.AttributeValue {
		return map[string]types.AttributeValue{"pk": text("p"), "sk": text(sk)}
	}
	remove := types.TransactWriteItem{Delete: &types.Delete{TableName: aws.String(Name), Key: k("1")}}
	check := types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
		TableName: aws.String(Name), Key: k("2"),
		ConditionExpression: aws.String("attribute_exists(#p)"), ExpressionAttributeNames: map[string]string{"#p": "pk"},
	}}
	assert.NilError(t, f.commit("", remove, check))
	assert.Equal(t, len(f.get(t, "p", "1")), 0)
	assert.Equal(t, len(f.get(t, "p", "2")), 4)
}

func TestQueryContinuesAfterKey(t *testing.T) {
	f := open(t, Rates{})
	for _, sk := range []string{"04", "02", "05", "01", "03"} {
		assert.NilError(t, f.commit("", insert("p", sk)))
	}
	assert.NilError(t, f.commit("", insert("q", "09")))
	in := &dynamodb.QueryInput{
		TableName: aws.String(Name), Limit: aws.Int32(2), ConsistentRead: aws.Bool(true),
		KeyConditionExpression:    aws.String("pk = :pk AND sk > :after"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": text("p"), ":after": text("01")},
	}
	var found []string
	for pages := dynamodb.NewQueryPaginator(f.client, in); pages.HasMorePages(); {
		page, err := pages.NextPage(context.Background())
		assert.NilError(t, err)
		assert.Assert(t, len(page.Items) <= 2)
		for _, i := range page.Items {
			found = append(found, i["sk"].(*types.AttributeValueMemberS).Value)
		}
	}
	assert.DeepEqual(t, found, []string{"02", "03", "04", "05"})
}

// The response to a transaction is lost after the transaction was applied, and the
// client retries it with the same token. If it were applied again, its condition
// would fail on the row that it wrote itself, which looks like a conflict with
// another writer.
func TestRetryWithSameTokenAfterLostAnswer(t *testing.T) {
	f := open(t, Rates{})
	f.faults.Put(fault.ScopeTable, fault.Fault{LoseAnswerShare: 1})
	assert.Assert(t, f.commit("token-1", insert("p", "1")) != nil)
	f.faults.Put(fault.ScopeTable, fault.Fault{})
	assert.Equal(t, len(f.get(t, "p", "1")), 4)
	for range 5 { // the client writes the attributes in random order
		assert.NilError(t, f.commit("token-1", insert("p", "1")))
	}
	var mismatch *types.IdempotentParameterMismatchException
	assert.Assert(t, errors.As(f.commit("token-1", insert("p", "2")), &mismatch))
	assert.Equal(t, f.table.Stats().LostAnswers, int64(1))
}

func TestTooManyWritesAreThrottled(t *testing.T) {
	f := open(t, Rates{WritesPerSecond: 0.5}) // less than the cost of one write
	var throttled *types.ProvisionedThroughputExceededException
	assert.Assert(t, errors.As(f.commit("", insert("p", "1")), &throttled))
	assert.Equal(t, f.table.Stats().ThrottledWrites, int64(1))
	assert.Equal(t, f.table.Stats().Rows, 0)
}

func TestRateLimitOverTime(t *testing.T) {
	b := newBucket(10)
	start := time.Now()
	taken := 0
	for i := range 3000 {
		if b.take(start.Add(time.Duration(i)*time.Millisecond), 1) {
			taken++
		}
	}
	assert.Assert(t, taken >= 39 && taken <= 40, taken) // capacity of one second plus 3 s of refill
}

func TestPutConflictReturnsExistingItem(t *testing.T) {
	f := open(t, Rates{})
	in := &dynamodb.PutItemInput{
		TableName: aws.String(Name), Item: row("p", "1", 1),
		ConditionExpression:                 aws.String("attribute_not_exists(pk)"),
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
	_, err := f.client.PutItem(context.Background(), in)
	assert.NilError(t, err)
	_, err = f.client.PutItem(context.Background(), in)
	var failed *types.ConditionalCheckFailedException
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Item["sk"].(*types.AttributeValueMemberS).Value, "1")
}

func TestOutage(t *testing.T) {
	f := open(t, Rates{})
	f.faults.Put(fault.ScopeTable, fault.Fault{Refuse: true})
	assert.ErrorContains(t, f.commit("", insert("p", "1")), "503")
	assert.Equal(t, f.table.Stats().Rows, 0)
}
