// Package docs_test checks that the Markdown pages name only files, tests and identifiers that exist in the repository,
// and that they explain the log messages.
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

// historicalPages lists the path prefixes of pages that describe earlier states of the repository. They keep the names
// that were valid then and are not checked.
var historicalPages = []string{"CHANGELOG.md", "docs/results.md", "docs/incidents"}

// externalPackages lists the packages outside this module that pages refer to.
var externalPackages = []string{"bbolt", "errors", "http", "net", "porcupine", "raft", "zap"}

var (
	linkPattern       = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codePattern       = regexp.MustCompile("`([^`\n]+)`")
	fencePattern      = regexp.MustCompile("(?ms)^```.*?^```")
	pathPattern       = regexp.MustCompile(`^[\w.-]+(/[\w.*-]+)*/?$`)
	testPattern       = regexp.MustCompile(`^(Test|Fuzz|Benchmark|Example)[A-Z]\w*$`)
	identifierPattern = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*)(?:\.(\w+))?(\(\))?$`)
)

// pages returns the Markdown pages that must match the current tree: those in the root, docs and its direct subfolders,
// except historicalPages.
func pages(t *testing.T) (names []string) {
	t.Helper()
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		matches, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range matches {
			name = strings.TrimPrefix(filepath.ToSlash(name), root+"/")
			if !slices.ContainsFunc(historicalPages, func(page string) bool { return strings.HasPrefix(name, page) }) {
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

// codeSpans returns the inline code spans of a page, without their backquotes. Fenced code blocks are skipped.
func codeSpans(text string) (spans []string) {
	for _, match := range codePattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(text, ""), -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// TestLinksResolve checks that the target of each relative link exists. It guards against links that break when a file
// is moved.
func TestLinksResolve(t *testing.T) {
	for _, name := range pages(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(readPage(t, name), -1) {
			target, _, _ := strings.Cut(match[1], "#")
			if target == "" || strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(root, path.Dir(name), target)); err != nil {
				t.Errorf("%s: broken link %s: %v", name, match[1], err)
			}
		}
	}
}

// TestPathsExist checks that each path in a code span exists if it starts with a top-level folder of the repository. It
// guards against pages that keep the old path of a moved or deleted file.
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
			topFolder, _, hasSlash := strings.Cut(span, "/")
			generated := topFolder == "bin" || topFolder == "found" || topFolder == "logs" // not in the repository
			if !hasSlash || !folders[topFolder] || generated || !pathPattern.MatchString(span) {
				continue
			}
			matches, err := filepath.Glob(filepath.Join(root, span))
			if err != nil || len(matches) == 0 {
				t.Errorf("%s: path %s matches no file or folder", name, span)
			}
		}
	}
}

// declarations holds the names that the Go files of the repository declare.
type declarations struct {
	// tests holds the names of all top-level functions in test files.
	tests map[string]bool
	// byPackage maps a package name to its declared names, in the form "Name" or "Type.Member".
	byPackage map[string]map[string]bool
}

// add records a name. The names of an external test package are added to the package that it tests.
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

// logPages maps a page in docs to the folders of the packages whose log messages it explains.
var logPages = map[string][]string{
	"oncall.md":    {"cmd/harehook", "platform/transport", "controller"},
	"operators.md": {"internal/daemon", "configsync/transport", "xds/transport", "sidecar", "cmd/harehook-sidecar", "internal/certs"},
	"raft.md":      {"cluster"},
}

// TestLogLinesAreExplained checks that each log message of a package appears in a code span of the page in logPages,
// because the person on call searches for the message there.
func TestLogLinesAreExplained(t *testing.T) {
	for page, folders := range logPages {
		text := readPage(t, "docs/"+page)
		for _, folder := range folders {
			for _, message := range logMessages(t, folder) {
				if !strings.Contains(text, "`"+message+"`") {
					t.Errorf("%s: log message %q of %s is not explained in a code span", page, message, folder)
				}
			}
		}
	}
}

// logMessages returns the literal messages that the non-test files of a folder log. The test fails if there are none.
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
		t.Errorf("%s: got no log messages, want at least 1", folder)
	}
	return messages
}

// loggedMessage returns the message if node is a call such as log.Info("message", ...). The method must be Info, Warn
// or Error, and the message must be a string literal.
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

// TestNamesAreDeclared checks that each test and each qualified identifier in a code span of a page is declared. It
// guards against pages that keep an old name after a rename.
func TestNamesAreDeclared(t *testing.T) {
	declared := readDeclarations(t)
	if !declared.tests["TestNamesAreDeclared"] {
		t.Fatal("TestNamesAreDeclared is missing from the declarations that were read; want every test to be found")
	}
	for _, name := range pages(t) {
		for _, span := range codeSpans(readPage(t, name)) {
			test, _, _ := strings.Cut(span, "/") // without the name of a subtest
			if testPattern.MatchString(test) && !declared.tests[test] {
				t.Errorf("%s: test function %s is not declared", name, test)
			}
			match := identifierPattern.FindStringSubmatch(span)
			if match == nil || slices.Contains(externalPackages, match[1]) {
				continue
			}
			if declared.byPackage[match[1]] == nil {
				t.Errorf("%s: package %s does not exist, named in %s", name, match[1], span)
				continue
			}
			want := match[2]
			if match[3] != "" {
				want += "." + match[3]
			}
			if !declared.byPackage[match[1]][want] {
				t.Errorf("%s: package %s does not declare %s", name, match[1], want)
			}
		}
	}
}
