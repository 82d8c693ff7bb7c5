package mutation

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// surveyTimeout ends a run of the survey; a mutant whose tests don't end by then counts as one that hangs.
const surveyTimeout = "150s"

var surveyed = flag.String("conditions", "", "source files, separated by commas, whose conditions are taken out one by one; takes some seconds for each")

// condition is an operand of a source file that decides something: of && or ||, or the complete condition of an if, a for or a case.
type condition struct {
	file     string
	function string
	text     string
	source   string
	start    int
	end      int
	neutral  string // appended to the operand, makes it have no effect
}

// conditionsOf lists the conditions of a source file in their order.
func conditionsOf(file string) ([]condition, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, data, 0)
	if err != nil {
		return nil, err
	}
	var found []condition
	for _, declaration := range parsed.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		add := func(operand ast.Expr, neutral string) {
			start, end := files.Position(operand.Pos()).Offset, files.Position(operand.End()).Offset
			found = append(found, condition{file, function.Name.Name, string(data[start:end]), string(data), start, end, neutral})
		}
		ast.Inspect(function.Body, func(node ast.Node) bool { return addConditions(node, add) })
	}
	return found, nil
}

// addConditions adds those of a node, and reports whether to look below it.
func addConditions(node ast.Node, add func(ast.Expr, string)) bool {
	switch node := node.(type) {
	case *ast.IfStmt:
		addSingle(node.Cond, add)
	case *ast.ForStmt:
		if node.Cond != nil {
			addSingle(node.Cond, add)
		}
	case *ast.SwitchStmt:
		if node.Tag != nil {
			break
		}
		for _, clause := range node.Body.List {
			for _, expression := range clause.(*ast.CaseClause).List {
				addSingle(expression, add)
			}
		}
	case *ast.BinaryExpr:
		if node.Op == token.LAND || node.Op == token.LOR {
			operands(node, add)
			return false
		}
	}
	return true
}

// addSingle adds a condition that is one operand; those of several are added as the walk comes to them.
func addSingle(condition ast.Expr, add func(ast.Expr, string)) {
	if binary, ok := condition.(*ast.BinaryExpr); ok && (binary.Op == token.LAND || binary.Op == token.LOR) {
		return
	}
	add(condition, " && false")
}

// operands adds the operands of a tree of && and ||. An operand counts for nothing as true beside && and as false beside ||.
func operands(binary *ast.BinaryExpr, add func(ast.Expr, string)) {
	neutral := " || true"
	if binary.Op == token.LOR {
		neutral = " && false"
	}
	for _, side := range []ast.Expr{binary.X, binary.Y} {
		inner := side
		if parenthesis, ok := inner.(*ast.ParenExpr); ok {
			inner = parenthesis.X
		}
		if nested, ok := inner.(*ast.BinaryExpr); ok && (nested.Op == token.LAND || nested.Op == token.LOR) {
			operands(nested, add)
			continue
		}
		add(side, neutral)
	}
}

// without is the mutation that takes the condition out.
func (c condition) without() Mutation {
	changed := c.source[:c.start] + "(" + c.text + c.neutral + ")" + c.source[c.end:]
	return Mutation{Name: c.file + "/" + c.function + "/" + c.text, File: c.file, From: c.source, To: changed}
}

// Stage is a run of tests that may find a mutant.
type Stage struct {
	Name    string
	Package string   // relative to the test's package; empty: that package itself
	Args    []string // of the test binary
}

// Survey takes out each condition of the files that the flag -conditions names, and logs the first stage that finds it, or that none does.
func Survey(t *testing.T, stages []Stage) {
	if *surveyed == "" {
		t.Skip("with -conditions only")
	}
	for file := range strings.SplitSeq(*surveyed, ",") {
		conditions, err := conditionsOf(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, condition := range conditions {
			t.Run(condition.function, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				t.Logf("CONDITION\t%s\t%s\t%s\t%s", condition.file, condition.function, condition.text, firstStage(t, condition.without(), stages))
			})
		}
	}
}

var failedTest = regexp.MustCompile(`--- FAIL: (\S+)`)

// firstStage says which stage finds a mutant, and by which test.
func firstStage(t *testing.T, m Mutation, stages []Stage) string {
	t.Helper()
	overlay := writeOverlay(t, m)
	dir := t.TempDir()
	binaries := map[string]string{}
	for _, stage := range stages {
		binary, built := binaries[stage.Package]
		if !built {
			binary = filepath.Join(dir, fmt.Sprint(len(binaries), ".test"))
			build := exec.Command("go", "test", "-c", "-vet=off", "-overlay", overlay, "-o", binary, "./"+stage.Package)
			if out, err := build.CombinedOutput(); err != nil {
				t.Fatalf("%s: the mutant does not compile: %s", m.Name, out)
			}
			binaries[stage.Package] = binary
		}
		run := exec.Command(binary, append([]string{"-test.failfast", "-test.timeout", surveyTimeout}, stage.Args...)...)
		run.Dir = stage.Package
		out, err := run.CombinedOutput()
		switch {
		case err == nil:
		case strings.Contains(string(out), "test timed out"):
			return stage.Name + ": does not end"
		default:
			if name := failedTest.FindStringSubmatch(string(out)); name != nil {
				return stage.Name + ": " + name[1]
			}
			return stage.Name + ": panics"
		}
	}
	return "none"
}
