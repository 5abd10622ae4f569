/** Formats rows below a header, each column as wide as its widest cell. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = header.map((title, i) => Math.max(title.length, ...rows.map(row => row[i]?.length ?? 0)));
	return [header, ...rows].map(row => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()).join('\n');
}
