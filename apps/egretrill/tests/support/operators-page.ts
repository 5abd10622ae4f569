import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {type RawRun, runRawCli} from './run-cli.js';

const pageFile = new URL('../../../../docs/operators.md', import.meta.url);

/** Values for the placeholders of a command, which are words in capital letters. */
export type Placeholders = Readonly<Record<string, string | number>>;

function fillPlaceholders(text: string, values: Placeholders): string {
	return text.replaceAll(/(?<![\w\-])[A-Z][A-Z_]*(?![\w\-])/gv, name => {
		const value = values[name];
		if (value === undefined) {
			throw new Error(`There is no value for ${name} in "${text}".`);
		}

		return String(value);
	});
}

/** The page for operators; tests run its commands as they are written there. */
export class OperatorsPage {
	static async read(): Promise<OperatorsPage> {
		return new OperatorsPage(await readFile(pageFile, 'utf8'));
	}

	/** Environment of the commands. */
	env: Readonly<Record<string, string>> = {};
	/** Working directory of the commands. */
	dir = '.';
	private readonly executed = new Set<string>();

	private constructor(readonly text: string) {}

	/** Returns the commands in the section of a heading, or on the whole page, in order and without the program's name. */
	getCommands(heading?: string): readonly string[] {
		const text = heading === undefined ? this.text : this.getSection(heading);
		return [...new Set([...text.matchAll(/(?:`|^)egretrill (?<command>[^`\n]+)/gmv)].map(({groups}) => groups?.command ?? ''))];
	}

	getSection(heading: string): string {
		const section = this.text.split(/^## /mv).find(part => part.startsWith(`${heading}\n`));
		if (section === undefined) {
			throw new Error(`The page has no section "${heading}".`);
		}

		return section;
	}

	/** Returns the commands of the page that no test has run. */
	getCommandsNotRun(): readonly string[] {
		return this.getCommands().filter(command => !this.executed.has(command));
	}

	/** Runs a command of the page, including its redirection of the output to a file. */
	async run(command: string | undefined, values: Placeholders = {}, env: Readonly<Record<string, string>> = {}): Promise<RawRun> {
		if (command === undefined || !this.getCommands().includes(command)) {
			throw new Error(`The page does not name "${command ?? 'a further command'}".`);
		}

		this.executed.add(command);
		const [line = '', file] = fillPlaceholders(command, values).split(' > ');
		const result = await runRawCli(line.split(' '), {...this.env, ...env}, this.dir);
		if (file !== undefined && result.exitCode === 0) {
			await writeFile(path.join(this.dir, file), result.stdout);
		}

		return result;
	}
}
