package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/cornelbay/cornelbay/config"
	"github.com/cornelbay/cornelbay/objectstore"
	"github.com/cornelbay/cornelbay/operator"
)

// platformFlags holds the flags of commands that call the platform's service.
type platformFlags struct {
	Platform string `help:"URL of the platform's service." required:"" env:"CORNELBAY_PLATFORM"`
}

func (s platformFlags) client() *operator.Client {
	return &operator.Client{Service: &objectstore.Client{Base: s.Platform}}
}

func loadDocument(path string) (*config.Document, error) {
	doc, _, err := readDocument(path)
	return doc, err
}

// readDocument returns the document in a file and the file's text.
func readDocument(path string) (*config.Document, []byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, merry.Prepend(err, "read document")
	}
	doc, err := config.Parse(b)
	return doc, b, err
}

type validateCmd struct {
	outputFlags
	Document string `arg:"" help:"File of the document to check."`
}

type validation struct {
	Valid  bool          `json:"valid"`
	Errors config.Errors `json:"errors"`
}

// Run prints every validation error of the document.
func (c *validateCmd) Run() error {
	doc, err := loadDocument(c.Document)
	var validationErrs config.Errors
	if err != nil && !errors.As(err, &validationErrs) {
		return err
	}
	if c.JSON {
		if err := c.print(validation{len(validationErrs) == 0, append(config.Errors{}, validationErrs...)}, nil); err != nil {
			return err
		}
	}
	if len(validationErrs) > 0 {
		return validationErrs
	}
	if c.JSON {
		return nil
	}
	return c.print(nil, func(w io.Writer) {
		targets := 0
		for _, s := range doc.Services {
			targets += len(s.Targets)
		}
		fmt.Fprintf(w, "valid: %d data centres, %d services, %d targets\n", len(doc.DataCentres), len(doc.Services), targets)
	})
}

type schemaCmd struct{}

// Run prints the JSON Schema of a document.
func (c *schemaCmd) Run() error {
	b, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(b))
	return err
}

type getCmd struct {
	platformFlags
	Generation uint64 `help:"Generation; the committed one by default."`
	Head       bool   `help:"Print the head with generation, author and reason in place of the document."`
}

// Run prints a document, or its head, as JSON.
func (c *getCmd) Run() error {
	h, doc, err := loadGeneration(c.client(), c.Generation)
	if err != nil {
		return err
	}
	if c.Head {
		return outputFlags{JSON: true}.print(h, nil)
	}
	return outputFlags{JSON: true}.print(doc, nil)
}

// loadGeneration loads generation n, or the committed one if n is 0.
func loadGeneration(c *operator.Client, n uint64) (config.Head, *config.Document, error) {
	if n == 0 {
		return c.Load(context.Background())
	}
	return c.Generation(context.Background(), n)
}

type diffCmd struct {
	outputFlags
	Platform string   `help:"URL of the platform's service, for one document." env:"CORNELBAY_PLATFORM"`
	Document []string `arg:"" help:"The document to compare with what is committed, or two documents."`
}

// Run prints the differences, one per line.
func (c *diffCmd) Run() error {
	if len(c.Document) > 2 || len(c.Document) == 1 && c.Platform == "" {
		return merry.Wrap(errUsage, merry.AppendMessage("one document and --platform, or two documents are required"))
	}
	to, err := loadDocument(c.Document[len(c.Document)-1])
	if err != nil {
		return err
	}
	var from *config.Document
	if len(c.Document) == 2 {
		from, err = loadDocument(c.Document[0])
	} else {
		_, from, err = loadGeneration(platformFlags{c.Platform}.client(), 0)
	}
	if err != nil {
		return err
	}
	differences := append([]config.Difference{}, config.Diff(from, to)...)
	return c.print(differences, func(w io.Writer) {
		for _, d := range differences {
			fmt.Fprintln(w, d)
		}
	})
}

type completionCmd struct{}

// Run prints a line for the startup file of the shell.
func (c *completionCmd) Run() error {
	path, err := os.Executable()
	if err != nil {
		return err
	}
	_, err = fmt.Printf("complete -C %q cornelbay\n", path)
	return err
}
