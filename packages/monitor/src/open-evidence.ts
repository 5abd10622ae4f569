import {access, open, rename} from 'node:fs/promises';
import path from 'node:path';
import {EvidenceError, EvidenceLog} from './evidence-log.js';
import {FileEvidenceStorage, getHeadFile} from './evidence-storage.js';
import type {BrokenLink} from './types.js';

/** Name under which a damaged evidence file was kept, and the first broken link of its chain. */
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

/** Renames an evidence file and its head file durably. After a crash between the two renames, the next start finds the head file with a new, empty evidence file and renames both. */
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
 * Opens the evidence log of a host. A damaged file is kept under another name, where it can still be verified up to the damage, and the first record of a new file reports it:
 * the host must serve requests while its evidence is damaged, and the damage must be visible to the monitor, which knows an earlier head.
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
