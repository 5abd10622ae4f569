import {access, open, rename} from 'node:fs/promises';
import path from 'node:path';
import {EvidenceError, EvidenceLog} from './evidence-log.js';
import {FileEvidenceStorage, getHeadFile} from './evidence-storage.js';
import type {BrokenLink} from './types.js';

/** A damaged evidence file that was kept under another name. */
export type EvidenceDamage = {readonly keptAs: string; readonly link: BrokenLink};

export type OpenEvidenceOptions = {
	readonly getWallTime?: () => string;
	readonly onDamage: (damage: EvidenceDamage) => void;
};

async function exists(file: string): Promise<boolean> {
	try {
		await access(file);
		return true;
	} catch {
		return false;
	}
}

async function findUnusedName(file: string): Promise<string> {
	for (let number = 1; ; number++) {
		const name = `${file}.damaged-${number}`;
		if (!await exists(name) && !await exists(getHeadFile(name))) {
			return name;
		}
	}
}

/** Renames a file and its head durably; after a crash between the two the head is kept beside an empty file at the next start. */
async function renameDamagedFiles(file: string): Promise<string> {
	const name = await findUnusedName(file);
	await rename(file, name);
	await rename(getHeadFile(file), getHeadFile(name));
	const folder = await open(path.dirname(file));
	try {
		await folder.sync();
	} finally {
		await folder.close();
	}

	return name;
}

/**
 * Opens the evidence of a host. A damaged file is kept under another name, where it can still be verified up to the damage, and a new one says so in its first record:
 * the host must serve while its evidence is damaged, and the monitor, which knows the earlier head, must learn of it.
 */
export async function openEvidence(file: string, {getWallTime, onDamage}: OpenEvidenceOptions): Promise<EvidenceLog> {
	try {
		return await EvidenceLog.open({storage: await FileEvidenceStorage.open(file), getWallTime});
	} catch (err: unknown) {
		if (!(err instanceof EvidenceError) || !err.link) {
			throw err;
		}

		const {link} = err;
		const keptAs = await renameDamagedFiles(file);
		onDamage({keptAs, link});
		const log = await EvidenceLog.open({storage: await FileEvidenceStorage.open(file), getWallTime});
		const {line, fault, expected, found} = link;
		await log.append({
			kind: 'damage-found', file: path.basename(keptAs), line, fault, expected, found,
		});
		return log;
	}
}
