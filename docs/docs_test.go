// Package docs_test checks that the pages speak of what is in the repository: files, tests and identifiers.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = ".."

// recordPages tell what was at their time, with the names of that time.
var recordPages = []string{"CHANGELOG.md", "docs/results.md", "docs/incidents"}

// otherPackages are packages of other modules that pages name.
var otherPackages = []string{"bbolt", "errors", "http", "net", "porcupine", "raft", "zap"}

var (
	linkPattern       = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codePattern       = regexp.MustCompile("`([^`\n]+)`")
	fencePattern      = regexp.MustCompile("(?ms)^```.*?^```")
	pathPattern       = regexp.MustCompile(`^[\w.-]+(/[\w.*-]+)*/?$`)
	testPattern       = regexp.MustCompile(`^(Test|Fuzz|Benchmark|Example)[A-Z]\w*$`)
	identifierPattern = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*)(?:\.(\w+))?(\(\))?$`)
)

// pages lists the Markdown pages that have to be true of the tree as it is.
func pages(t *testing.T) (names []string) {
	t.Helper()
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range found {
			name = strings.TrimPrefix(filepath.ToSlash(name), root+"/")
			if !slices.ContainsFunc(recordPages, func(page string) bool { return strings.HasPrefix(name, page) }) {
				names = append(names, name)
			}
		}
	}
	return names
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// codeSpans gives what stands between backquotes on a page, outside of blocks of code.
func codeSpans(text string) (spans []string) {
	for _, match := range codePattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(text, ""), -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// TestLinksResolve guards against pages that point nowhere after a file has moved.
func TestLinksResolve(t *testing.T) {
	for _, name := range pages(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(readPage(t, name), -1) {
			target, _, _ := strings.Cut(match[1], "#")
			if target == "" || strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(root, path.Dir(name), target)); err != nil {
				t.Errorf("%s: the link %s: %v", name, match[1], err)
			}
		}
	}
}

// TestPathsExist checks each path between backquotes that begins at a folder of the repository's root.
func TestPathsExist(t *testing.T) {
	entries, err := os.ReadDir(root)
	if err != nil {
		t.Fatal(err)
	}
	folders := map[string]bool{}
	for _, entry := range entries {
		folders[entry.Name()] = entry.IsDir()
	}
	for _, name := range pages(t) {
		for _, span := range codeSpans(readPage(t, name)) {
			first, _, hasSlash := strings.Cut(span, "/")
			built := first == "bin" || first == "found" || first == "logs" // not in the repository
			if !hasSlash || !folders[first] || built || !pathPattern.MatchString(span) {
				continue
			}
			found, err := filepath.Glob(filepath.Join(root, span))
			if err != nil || len(found) == 0 {
				t.Errorf("%s: the path %s is not there", name, span)
			}
		}
	}
}

// declarations are the names that Go files declare, by the name of their package: "Name" and "Type.Member".
type declarations struct {
	tests     map[string]bool
	byPackage map[string]map[string]bool
}

func (d *declarations) add(packageName, name string) {
	packageName = strings.TrimSuffix(packageName, "_test")
	if d.byPackage[packageName] == nil {
		d.byPackage[packageName] = map[string]bool{}
	}
	d.byPackage[packageName][name] = true
}

func readDeclarations(t *testing.T) *declarations {
	t.Helper()
	d := &declarations{tests: map[string]bool{}, byPackage: map[string]map[string]bool{}}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "testdata"):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(name, ".go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		d.addFile(file, strings.HasSuffix(name, "_test.go"))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *declarations) addFile(file *ast.File, isTest bool) {
	packageName := file.Name.Name
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv != nil {
				d.add(packageName, receiverName(declaration.Recv.List[0].Type)+"."+declaration.Name.Name)
				continue
			}
			d.add(packageName, declaration.Name.Name)
			if isTest {
				d.tests[declaration.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				d.addSpec(packageName, spec)
			}
		}
	}
}

func (d *declarations) addSpec(packageName string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.add(packageName, name.Name)
		}
	case *ast.TypeSpec:
		d.add(packageName, spec.Name.Name)
		var members *ast.FieldList
		switch underlying := spec.Type.(type) {
		case *ast.StructType:
			members = underlying.Fields
		case *ast.InterfaceType:
			members = underlying.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				d.add(packageName, spec.Name.Name+"."+name.Name)
			}
		}
	}
}

func receiverName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiverName(expression.X)
	case *ast.IndexExpr:
		return receiverName(expression.X)
	case *ast.IndexListExpr:
		return receiverName(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}

// logPages names the page that explains the log lines of some packages.
var logPages = map[string][]string{
	"oncall.md":    {"cmd/harehook", "platform/transport", "controller"},
	"operators.md": {"internal/daemon", "configsync/transport", "xds/transport", "sidecar", "cmd/harehook-sidecar", "internal/certs"},
	"raft.md":      {"cluster"},
}

// TestLogLinesAreExplained checks that each message that a program logs is on the page that explains its log: whoever is
// on call searches for it there.
func TestLogLinesAreExplained(t *testing.T) {
	for page, folders := range logPages {
		text := readPage(t, "docs/"+page)
		for _, folder := range folders {
			for _, message := range logMessages(t, folder) {
				if !strings.Contains(text, "`"+message+"`") {
					t.Errorf("%s: %q of %s is not explained", page, message, folder)
				}
			}
		}
	}
}

// logMessages lists the messages of a folder's calls of a logger.
func logMessages(t *testing.T, folder string) (messages []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if message, ok := loggedMessage(node); ok {
				messages = append(messages, message)
			}
			return true
		})
	}
	if len(messages) == 0 {
		t.Errorf("%s logs nothing", folder)
	}
	return messages
}

// loggedMessage returns the message of a call such as log.Info("message", ...).
func loggedMessage(node ast.Node) (message string, ok bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) {
		return "", false
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

// TestNamesAreDeclared checks each test and each identifier of a package that a page names between backquotes.
func TestNamesAreDeclared(t *testing.T) {
	declared := readDeclarations(t)
	if !declared.tests["TestNamesAreDeclared"] {
		t.Fatal("this test itself is not found")
	}
	for _, name := range pages(t) {
		for _, span := range codeSpans(readPage(t, name)) {
			test, _, _ := strings.Cut(span, "/")
			if testPattern.MatchString(test) && !declared.tests[test] {
				t.Errorf("%s: there is no %s", name, test)
			}
			match := identifierPattern.FindStringSubmatch(span)
			if match == nil || slices.Contains(otherPackages, match[1]) {
				continue
			}
			if declared.byPackage[match[1]] == nil {
				t.Errorf("%s: there is no package %s for %s", name, match[1], span)
				continue
			}
			want := match[2]
			if match[3] != "" {
				want += "." + match[3]
			}
			if !declared.byPackage[match[1]][want] {
				t.Errorf("%s: package %s declares no %s", name, match[1], want)
			}
		}
	}
}
