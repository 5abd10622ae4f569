import type {Reports} from './reports.js';
import type {EvidencePage, MonitoredConfig} from './types.js';

type Cell = string | number | undefined;

const htmlEntities: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

function escapeHtml(value: Cell): string {
	return String(value ?? '').replaceAll(/[&<>"']/gv, character => htmlEntities[character] ?? character);
}

function renderTable(title: string, columns: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
	const head = columns.map(column => `<th scope="col">${escapeHtml(column)}</th>`).join('');
	const body = rows.map(row => `<tr>${row.map(cell => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`).join('\n');
	return `<section><h2>${escapeHtml(title)}</h2><table><thead><tr>${head}</tr></thead><tbody>\n${body}\n</tbody></table></section>`;
}

function renderEvidence(evidence: EvidencePage | undefined): string {
	if (!evidence) {
		return '<section><h2>Evidence</h2><p>This host has no disk and keeps no evidence.</p></section>';
	}

	const rows = evidence.entries.map(({seq, at, hash, record: {kind, ...details}}) => [seq, at, kind, JSON.stringify(details), hash]);
	const next = evidence.next === null ? '' : `<p><a href="/?after=${evidence.next}">Next records</a></p>`;
	return `${renderTable('Evidence', ['Record', 'Time', 'Kind', 'Details', 'Hash'], rows)}${next}`;
}

async function renderReports(reports: Reports, config: MonitoredConfig): Promise<readonly string[]> {
	const promises = await reports.promises(config);
	const customers = await reports.customers(config);
	const rates = await reports.rates(config);
	const keys = await reports.keys(config);
	const placements = await reports.placements(config);
	const zones = await reports.zones(config);
	return [
		renderTable('Promises', ['Promise', 'Text', 'State', 'Counted', 'Broken', 'What is counted', 'Last breach'], promises.promises.map(entry => [
			entry.promise, entry.text, entry.state, entry.counted, entry.broken, entry.counts, entry.lastBreach,
		])),
		renderTable('Customers', ['Customer', 'Weight', 'Key lease in ms'], customers.customers.map(entry => [entry.id, entry.weight, entry.keyLeaseMs])),
		renderTable('Rates', ['Customer', 'Tokens per second', 'Burst tokens', 'Requests per second', 'Burst requests'], rates.rates.map(entry => [
			entry.customer, entry.tokensPerSecond, entry.burstTokens, entry.requestsPerSecond, entry.burstRequests,
		])),
		renderTable('Keys', ['Key', 'Customer', 'Digest', 'State'], keys.keys.map(entry => [entry.id, entry.customer, entry.digest, entry.state])),
		renderTable('Placements', ['Model', 'Target', 'State'], [
			...placements.pins.map(entry => [entry.model, entry.target, 'pinned']),
			...placements.forbids.map(entry => [entry.model, entry.target, 'forbidden']),
			...placements.copies.map(entry => [`${entry.model} ${entry.version}`, entry.target, entry.state]),
		]),
		renderTable('Zones', ['Zone', 'Region', 'State'], zones.zones.map(entry => [entry.id, entry.region, entry.state])),
	];
}

export type PageContent = {
	readonly config: MonitoredConfig;
	readonly reports: Reports;
	readonly evidence: EvidencePage | undefined;
};

/** Renders the monitor's page: all reports and one page of evidence. */
export async function renderMonitorPage({config, reports, evidence}: PageContent): Promise<string> {
	return [
		'<!doctype html>',
		'<html lang="en"><head><meta charset="utf-8"><title>Monitor - egretrill</title></head>',
		`<body><main><h1>Monitor</h1><p>Version ${config.version} by ${escapeHtml(config.author)} is in force (digest ${escapeHtml(config.digest)}).</p>`,
		...await renderReports(reports, config),
		renderEvidence(evidence),
		'</main></body></html>',
		'',
	].join('\n');
}
