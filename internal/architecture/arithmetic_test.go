package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	moduleRoot = "../.." // folder of this module, seen from this package
	mathImport = "math"  // import path of the package
)

// portableMath lists what the policy packages may use of package math: constants, and functions whose results the IEEE 754
// standard or their definition fixes to the bit. All others may differ by architecture.
var portableMath = []string{"Abs", "Ceil", "Copysign", "FMA", "Float64bits", "Float64frombits", "Floor", "Frexp", "Inf", "IsInf",
	"IsNaN", "Ldexp", "NaN", "RoundToEven", "Sqrt", "Trunc",
	"Ln2", "Log2E", "MaxFloat64", "MaxInt64", "SmallestNonzeroFloat64", "Sqrt2"}

// mathName returns the name under which a file uses package math, or an empty string if it does not import it.
func mathName(file *ast.File) string {
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		switch {
		case err != nil || imported != mathImport:
		case spec.Name != nil:
			return spec.Name.Name
		default:
			return mathImport
		}
	}
	return ""
}

// findUnportableMath returns the positions and names of what a file uses of package math beyond portableMath.
func findUnportableMath(files *token.FileSet, file *ast.File) []string {
	name := mathName(file)
	if name == "." {
		return []string{files.Position(file.Pos()).String() + ": import of math as ."}
	}
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		selector, isSelector := node.(*ast.SelectorExpr)
		if !isSelector {
			return true
		}
		operand, isIdent := selector.X.(*ast.Ident)
		if isIdent && name != "" && operand.Name == name && !slices.Contains(portableMath, selector.Sel.Name) {
			found = append(found, files.Position(selector.Pos()).String()+": math."+selector.Sel.Name)
		}
		return true
	})
	return found
}

// Decisions differed between architectures, since math.Exp rounds differently on each.
func TestPolicyUsesOnlyPortableFunctionsOfMath(t *testing.T) {
	files := token.NewFileSet()
	parsed := 0
	visit := func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		parsed++
		for _, use := range findUnportableMath(files, file) {
			t.Errorf("got %s, want a function of policy/portable or one whose result is the same on every architecture", use)
		}
		return nil
	}
	if err := filepath.WalkDir(filepath.Join(moduleRoot, "policy"), visit); err != nil {
		t.Fatal(err)
	}
	if parsed == 0 {
		t.Fatal("got no source file below policy, want at least one")
	}
}

func TestUnportableMathIsFound(t *testing.T) {
	for source, want := range map[string]int{
		`package p; import "math"; var x = math.Exp(1) + math.Abs(2)`:               1,
		`package p; import m "math"; var x, y = m.Log(1), m.Hypot`:                  2,
		`package p; import . "math"; var x = Tanh(1)`:                               1,
		`package p; import "lemontack/policy/portable"; var x = portable.Exp(1)`:    0,
		`package p; import "math/bits"; var x = bits.Len(1)`:                        0,
		`package p; import "math"; var x = math.FMA(1, 2, math.Sqrt(math.Inf(-1)))`: 0,
	} {
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, "p.go", source, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := findUnportableMath(files, file); len(got) != want {
			t.Errorf("%s: got %v, want %d uses", source, got, want)
		}
	}
}
