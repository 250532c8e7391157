package hclfile

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Limits for what the parser handles by recursion. A goroutine whose stack grows too large ends the process.
const (
	maxNesting   = 100  // blocks, brackets and templates that are open at a time
	maxOperators = 1000 // operators, indices, calls and templates in one expression
)

// openBracket is a block, a bracket or a template that has not ended.
type openBracket struct {
	opening   hclsyntax.TokenType
	operators int // in the current expression directly inside
}

// checkNesting returns a diagnostic for the first place at which a text exceeds a limit. It does not recurse.
func checkNesting(text []byte, name string) hcl.Diagnostics {
	tokens, _ := hclsyntax.LexConfig(text, name, hcl.InitialPos) // the parser reports the errors
	open := []openBracket{{opening: hclsyntax.TokenOBrace}}      // the file itself is like a block
	for _, token := range tokens {
		innermost := &open[len(open)-1]
		switch {
		case opensBracket(token.Type):
			innermost.operators++
			open = append(open, openBracket{opening: token.Type})
		case closesBracket(token.Type):
			open = open[:max(1, len(open)-1)]
		case endsExpression(token.Type, innermost.opening):
			innermost.operators = 0
		case isOperator(token.Type):
			innermost.operators++
		}
		if len(open) > maxNesting {
			return tooComplex(token.Range, fmt.Sprintf("more than %d brackets are open", maxNesting))
		}
		if innermost.operators > maxOperators {
			return tooComplex(token.Range, fmt.Sprintf("more than %d operators are in one expression", maxOperators))
		}
	}
	return nil
}

func tooComplex(at hcl.Range, detail string) hcl.Diagnostics {
	return hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "Too complex", Detail: detail, Subject: &at}}
}

func opensBracket(token hclsyntax.TokenType) bool {
	switch token {
	case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack, hclsyntax.TokenOParen,
		hclsyntax.TokenTemplateInterp, hclsyntax.TokenTemplateControl:
		return true
	}
	return false
}

func closesBracket(token hclsyntax.TokenType) bool {
	switch token {
	case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack, hclsyntax.TokenCParen, hclsyntax.TokenTemplateSeqEnd:
		return true
	}
	return false
}

// endsExpression reports whether a token separates two expressions inside a bracket. Line breaks do so only in
// braces.
func endsExpression(token, opening hclsyntax.TokenType) bool {
	return token == hclsyntax.TokenComma || token == hclsyntax.TokenNewline && opening == hclsyntax.TokenOBrace
}

func isOperator(token hclsyntax.TokenType) bool {
	switch token {
	case hclsyntax.TokenPlus, hclsyntax.TokenMinus, hclsyntax.TokenStar, hclsyntax.TokenSlash, hclsyntax.TokenPercent,
		hclsyntax.TokenEqualOp, hclsyntax.TokenNotEqual, hclsyntax.TokenLessThan, hclsyntax.TokenLessThanEq,
		hclsyntax.TokenGreaterThan, hclsyntax.TokenGreaterThanEq, hclsyntax.TokenAnd, hclsyntax.TokenOr,
		hclsyntax.TokenBang, hclsyntax.TokenQuestion, hclsyntax.TokenDot, hclsyntax.TokenDoubleColon:
		return true
	}
	return false
}
