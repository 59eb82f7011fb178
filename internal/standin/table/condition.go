package table

import (
	"fmt"
	"regexp"
	"strings"
)

// condition is a parsed condition expression.
type condition interface {
	holds(Item) bool
}

// placeholders holds what the #names and :values of an expression stand for.
type placeholders struct {
	names  map[string]string
	values map[string]Attribute
}

// existence is attribute_exists or attribute_not_exists.
type existence struct {
	name      string
	mustExist bool
}

func (c existence) holds(i Item) bool {
	_, found := i[c.name]
	return found == c.mustExist
}

type comparison struct {
	name     string
	operator string
	value    Attribute
}

func (c comparison) holds(i Item) bool {
	a, found := i[c.name]
	if !found {
		return false
	}
	order, comparable := a.compare(c.value)
	if !comparable {
		return c.operator == "<>"
	}
	switch c.operator {
	case "=":
		return order == 0
	case "<>":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default: // ">=": the parser accepts no other operator
		return order >= 0
	}
}

// prefixMatch is begins_with.
type prefixMatch struct {
	name  string
	value Attribute
}

func (c prefixMatch) holds(i Item) bool {
	a := i[c.name]
	return a.S != nil && c.value.S != nil && strings.HasPrefix(*a.S, *c.value.S)
}

type andCondition struct{ left, right condition }

func (c andCondition) holds(i Item) bool { return c.left.holds(i) && c.right.holds(i) }

type orCondition struct{ left, right condition }

func (c orCondition) holds(i Item) bool { return c.left.holds(i) || c.right.holds(i) }

type notCondition struct{ inner condition }

func (c notCondition) holds(i Item) bool { return !c.inner.holds(i) }

type alwaysTrue struct{}

func (alwaysTrue) holds(Item) bool { return true }

var tokenPattern = regexp.MustCompile(`\s*(<>|<=|>=|[=<>(),]|[:#]?[A-Za-z_][A-Za-z0-9_.-]*|\S)`)

// parser reads an expression by recursive descent.
type parser struct {
	tokens       []string
	at           int
	placeholders placeholders
	used         map[string]bool // placeholders that occur in the expression
}

// parse parses an expression; an empty one always holds. Like the real service,
// it returns an error if a placeholder isn't used.
func parse(expression string, known placeholders) (condition, error) {
	p := &parser{placeholders: known, used: map[string]bool{}}
	c, err := p.parseAll(expression)
	if err != nil {
		return nil, err
	}
	return c, p.checkAllUsed()
}

func (p *parser) parseAll(expression string) (condition, error) {
	if strings.TrimSpace(expression) == "" {
		return alwaysTrue{}, nil
	}
	for _, m := range tokenPattern.FindAllStringSubmatch(expression, -1) {
		p.tokens = append(p.tokens, m[1])
	}
	c, err := p.disjunction()
	if err != nil {
		return nil, err
	}
	if p.at != len(p.tokens) {
		return nil, p.unexpected()
	}
	return c, nil
}

func (p *parser) checkAllUsed() error {
	for name := range p.placeholders.names {
		if !p.used[name] {
			return fmt.Errorf("value provided in ExpressionAttributeNames unused in expressions: keys: {%s}", name)
		}
	}
	for name := range p.placeholders.values {
		if !p.used[name] {
			return fmt.Errorf("value provided in ExpressionAttributeValues unused in expressions: keys: {%s}", name)
		}
	}
	return nil
}

func (p *parser) peek() string {
	if p.at == len(p.tokens) {
		return ""
	}
	return p.tokens[p.at]
}

func (p *parser) next() string {
	t := p.peek()
	if t != "" {
		p.at++
	}
	return t
}

// accept consumes the next token if it is the given word, in any case.
func (p *parser) accept(word string) bool {
	if !strings.EqualFold(p.peek(), word) {
		return false
	}
	p.at++
	return true
}

func (p *parser) expect(word string) error {
	if !p.accept(word) {
		return p.unexpected()
	}
	return nil
}

func (p *parser) unexpected() error {
	return fmt.Errorf("syntax error; token: %q", p.peek())
}

func (p *parser) disjunction() (condition, error) {
	left, err := p.conjunction()
	for err == nil && p.accept("OR") {
		var right condition
		right, err = p.conjunction()
		left = orCondition{left, right}
	}
	return left, err
}

func (p *parser) conjunction() (condition, error) {
	left, err := p.factor()
	for err == nil && p.accept("AND") {
		var right condition
		right, err = p.factor()
		left = andCondition{left, right}
	}
	return left, err
}

func (p *parser) factor() (condition, error) {
	if p.accept("NOT") {
		inner, err := p.factor()
		return notCondition{inner}, err
	}
	if p.accept("(") {
		inner, err := p.disjunction()
		if err != nil {
			return nil, err
		}
		return inner, p.expect(")")
	}
	switch {
	case p.accept("attribute_exists"):
		return p.existence(true)
	case p.accept("attribute_not_exists"):
		return p.existence(false)
	case p.accept("begins_with"):
		return p.prefixMatch()
	}
	return p.comparison()
}

func (p *parser) existence(mustExist bool) (condition, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	return existence{name: name, mustExist: mustExist}, p.expect(")")
}

func (p *parser) prefixMatch() (condition, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if err := p.expect(","); err != nil {
		return nil, err
	}
	value, err := p.value()
	if err != nil {
		return nil, err
	}
	return prefixMatch{name: name, value: value}, p.expect(")")
}

func (p *parser) comparison() (condition, error) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	operator := p.next()
	switch operator {
	case "=", "<>", "<", "<=", ">", ">=":
	default:
		return nil, fmt.Errorf("syntax error; operator: %q", operator)
	}
	value, err := p.value()
	return comparison{name: name, operator: operator, value: value}, err
}

var namePattern = regexp.MustCompile(`^[A-Za-z_]`)

func (p *parser) name() (string, error) {
	t := p.peek()
	if strings.HasPrefix(t, "#") {
		name, found := p.placeholders.names[t]
		if !found {
			return "", fmt.Errorf("an expression attribute name used in the document path is not defined; attribute name: %s", t)
		}
		p.at++
		p.used[t] = true
		return name, nil
	}
	if !namePattern.MatchString(t) {
		return "", p.unexpected()
	}
	p.at++
	return t, nil
}

func (p *parser) value() (Attribute, error) {
	t := p.peek()
	if !strings.HasPrefix(t, ":") {
		return Attribute{}, p.unexpected()
	}
	value, found := p.placeholders.values[t]
	if !found {
		return Attribute{}, fmt.Errorf("an expression attribute value used in expression is not defined; attribute value: %s", t)
	}
	p.at++
	p.used[t] = true
	return value, nil
}
