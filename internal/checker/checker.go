// Package checker holds the rules of the house style that no linter has. Its
// own test runs them over every Go file of the repository.
package checker

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// Finding is a place that breaks a rule.
type Finding struct {
	Position token.Position
	Rule     string
}

// String returns the finding as file, line and rule.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.Position.Filename, f.Position.Line, f.Rule)
}

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// notAgentNouns are the package names that are allowed besides agent nouns:
// the layout and the folder that the users name, generated code, and programs.
var notAgentNouns = []string{"blackboard", "wirepb", "main", "pin", platformPackage}

// platformPackage translates between this system and the users' platform.
const platformPackage = "platform"

// Check runs every rule over the Go files below root, except generated ones.
func Check(root string) ([]Finding, error) {
	var found []Finding
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		found = append(found, CheckFile(fset, file)...)
		return nil
	})
	return found, err
}

// CheckFile runs every rule over one file.
func CheckFile(fset *token.FileSet, file *ast.File) []Finding {
	var found []Finding
	report := func(n ast.Node, rule string) {
		found = append(found, Finding{Position: fset.Position(n.Pos()), Rule: rule})
	}
	checkPackageName(file, report)
	// The platform's formats have names of their own.
	ownFormats := file.Name.Name != platformPackage
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n, "goroutines start through a group, not by a bare go statement")
		case *ast.TypeSpec:
			checkType(n, report)
		case *ast.Field:
			if ownFormats {
				checkTag(n, report)
			}
		}
		return true
	})
	return found
}

func checkPackageName(file *ast.File, report func(ast.Node, string)) {
	name := strings.TrimSuffix(file.Name.Name, "_test")
	for _, allowed := range notAgentNouns {
		if name == allowed {
			return
		}
	}
	if !strings.HasSuffix(name, "er") && !strings.HasSuffix(name, "or") && !strings.HasSuffix(name, "witness") {
		report(file.Name, "a package is named for what it does, by an agent noun")
	}
}

// checkType refuses interfaces: behaviour that varies is a function field.
func checkType(spec *ast.TypeSpec, report func(ast.Node, string)) {
	if it, ok := spec.Type.(*ast.InterfaceType); ok && len(it.Methods.List) > 0 {
		report(spec, "behaviour that varies is a function field, not an interface")
	}
}

// checkTag wants kebab case in the keys of the project's own formats.
func checkTag(f *ast.Field, report func(ast.Node, string)) {
	if f.Tag == nil {
		return
	}
	raw, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return
	}
	for _, format := range []string{"yaml", "json"} {
		key, _, _ := strings.Cut(reflect.StructTag(raw).Get(format), ",")
		if key != "" && key != "-" && !kebabCase.MatchString(key) {
			report(f, format+" key "+key+" is not in kebab case")
		}
	}
}
