package reference

import (
	"fmt"
	"strings"
)

const generatedNote = "Generated from the code by `go test ./internal/reference -update`; the test fails when page and code differ.\n\n"

const settingsHeader = "# Settings\n\n" + generatedNote +
	"A key `K` of section `[S]` is `--S-K` on the command line and `SAVORYWEIR_S_K` in the environment (upper case,\n" +
	"`_` for `-`). The command line goes before the environment, which goes before the file that `--settings` names.\n" +
	"A key without a section stands before the first one. Durations are written like `500ms`, `10s`, `5m`, `1h`.\n" +
	"`--check-settings` prints all faults of a file at once and exits.\n"

const metricsHeader = "# Metrics\n\n" + generatedNote +
	"Each process serves them at `/metrics` on its operations port, beside the `go_` and `process_` metrics of the\n" +
	"client library.\n"

// SettingsPage returns the Markdown page of the settings and commands of all programs.
func SettingsPage(programs []Program) string {
	var page strings.Builder
	page.WriteString(settingsHeader)
	for _, program := range programs {
		fmt.Fprintf(&page, "\n## %s\n\n", program.Name)
		writeTable(&page, []string{"section", "key", "type", "range", "default", "meaning"}, settingRows(program.Settings))
		for _, command := range program.Commands {
			fmt.Fprintf(&page, "\n### `%s`\n\n%s\n\n", command.Path, command.Description)
			writeTable(&page, []string{"argument", "type", "range", "default", "meaning"}, argumentRows(command.Arguments))
		}
	}
	return page.String()
}

func settingRows(settings []Setting) [][]string {
	var rows [][]string
	for _, s := range settings {
		rows = append(rows, []string{formatSection(s.Section), formatCode(s.Key), s.Type, s.Range, formatCode(s.Default), s.Description})
	}
	return rows
}

func argumentRows(arguments []Setting) [][]string {
	var rows [][]string
	for _, a := range arguments {
		rows = append(rows, []string{formatCode(a.Key), a.Type, a.Range, formatCode(a.Default), a.Description})
	}
	return rows
}

// Part lists the metrics that one process exports.
type Part struct {
	Process string
	Metrics []Metric
}

// MetricsPage returns the Markdown page of the metrics of all parts. It returns an error when
// a metric has no advice, or when an advice names a metric that no part has.
func MetricsPage(parts []Part, advice []Advice) (string, error) {
	unusedAdvice := make(map[string]string, len(advice))
	for _, a := range advice {
		unusedAdvice[a.Metric] = a.Text
	}
	var page strings.Builder
	page.WriteString(metricsHeader)
	for _, part := range parts {
		var rows [][]string
		for _, m := range part.Metrics {
			text, ok := unusedAdvice[m.Name]
			if !ok {
				return "", fmt.Errorf("metric %s of %s has no advice", m.Name, part.Process)
			}
			delete(unusedAdvice, m.Name)
			rows = append(rows, []string{formatCode(m.Name), strings.Join(m.Labels, ", "), m.Meaning, text})
		}
		fmt.Fprintf(&page, "\n## %s\n\n", part.Process)
		writeTable(&page, []string{"metric", "labels", "meaning", "when it moves"}, rows)
	}
	for name := range unusedAdvice {
		return "", fmt.Errorf("advice names metric %s, which no process has", name)
	}
	return page.String(), nil
}

func writeTable(page *strings.Builder, header []string, rows [][]string) {
	writeRow(page, header)
	page.WriteString("|" + strings.Repeat("---|", len(header)) + "\n")
	for _, row := range rows {
		writeRow(page, row)
	}
}

func writeRow(page *strings.Builder, cells []string) {
	for _, cell := range cells {
		page.WriteString("| " + strings.ReplaceAll(cell, "|", `\|`) + " ")
	}
	page.WriteString("|\n")
}

func formatSection(name string) string {
	if name == "" {
		return ""
	}
	return formatCode("[" + name + "]")
}

// formatCode sets text as Markdown code. Empty text and remarks in parentheses such as "(required)" stay plain.
func formatCode(text string) string {
	if text == "" || strings.HasPrefix(text, "(") {
		return text
	}
	return "`" + text + "`"
}
