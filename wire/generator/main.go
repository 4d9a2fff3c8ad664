// Command generator generates the Go code of the peer protocol from peer.proto.
//
// It compiles the file in process and runs the protoc plugins that go.mod pins as tools, so
// that protoc need not be installed.
//
// # Usage
//
//	go generate ./wire/peerproto    writes the files
//	go run ./wire/generator -check  fails if a committed file is out of date
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const protoFile = "peer.proto"

var plugins = []string{"protoc-gen-go", "protoc-gen-twirp"}

func main() {
	folder := flag.String("folder", ".", "folder of peer.proto")
	isCheck := flag.Bool("check", false, "compare instead of writing")
	flag.Parse()
	if err := generate(*folder, *isCheck); err != nil {
		fmt.Fprintln(os.Stderr, "generator:", err)
		os.Exit(1)
	}
}

func generate(folder string, isCheck bool) error {
	request, err := compile(folder)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		response, err := runPlugin(plugin, request)
		if err != nil {
			return err
		}
		for _, file := range response.GetFile() {
			if err := writeOrCompare(folder, file, isCheck); err != nil {
				return err
			}
		}
	}
	return nil
}

// compile returns the encoded request for the plugins.
func compile(folder string) ([]byte, error) {
	co := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := co.Compile(context.Background(), protoFile)
	if err != nil {
		return nil, fmt.Errorf("compile %s: %w", protoFile, err)
	}
	return proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{protoFile},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	})
}

// runPlugin runs a plugin pinned in go.mod on an encoded request.
func runPlugin(plugin string, request []byte) (*pluginpb.CodeGeneratorResponse, error) {
	cmd := exec.Command("go", "tool", plugin)
	cmd.Stdin = bytes.NewReader(request)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("run %s: %w", plugin, err)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(out, response); err != nil {
		return nil, fmt.Errorf("decode response of %s: %w", plugin, err)
	}
	if response.Error != nil {
		return nil, fmt.Errorf("%s: %s", plugin, response.GetError())
	}
	return response, nil
}

// writeOrCompare writes a generated file or, with isCheck, returns an error if the committed
// one differs.
func writeOrCompare(folder string, file *pluginpb.CodeGeneratorResponse_File, isCheck bool) error {
	path := filepath.Join(folder, filepath.Base(file.GetName()))
	if !isCheck {
		return os.WriteFile(path, []byte(file.GetContent()), 0o644)
	}
	committed, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	if string(committed) != file.GetContent() {
		return fmt.Errorf("%s is out of date, run go generate ./wire/peerproto", path)
	}
	return nil
}
