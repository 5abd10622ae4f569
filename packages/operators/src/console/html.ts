/** HTML markup that is already escaped. */
export type Html = {readonly markup: string};

type TemplateValue = Html | string | number | undefined | false | readonly Html[];

const htmlEntities: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

/** Escapes text for element content and quoted attributes. */
export function escapeHtml(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => htmlEntities[character] ?? character);
}

function isMarkup(value: TemplateValue): value is Html {
	return typeof value === 'object' && 'markup' in value;
}

function renderTemplateValue(value: TemplateValue): string {
	if (value === undefined || value === false) {
		return '';
	}

	if (isMarkup(value)) {
		return value.markup;
	}

	return typeof value === 'object' ? value.map(part => part.markup).join('') : escapeHtml(String(value));
}

const trimmedTemplates = new WeakMap<TemplateStringsArray, readonly string[]>();

function trimTemplate(strings: TemplateStringsArray): readonly string[] {
	const cached = trimmedTemplates.get(strings);
	if (cached) {
		return cached;
	}

	const trimmed = strings.map((text, i) => (i === 0 ? text.replace(/^\n\s*/v, '') : text).replaceAll(/\n\s+/gv, '\n'));
	trimmedTemplates.set(strings, trimmed);
	return trimmed;
}

/** Template tag that escapes every value except its own markup and removes the indentation of the template. */
export function html(strings: TemplateStringsArray, ...values: readonly TemplateValue[]): Html {
	return {markup: trimTemplate(strings).map((text, i) => (i === 0 ? '' : renderTemplateValue(values[i - 1])) + text).join('')};
}
