/** Formats rows below a header, each column as wide as its widest cell; an empty table shows `(none)`. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = header.map((title, i) => Math.max(title.length, ...rows.map(row => row[i]?.length ?? 0)));
	const lines = [header, ...rows].map(row => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd());
	return [...lines, ...(rows.length === 0 ? ['(none)'] : [])].join('\n');
}
