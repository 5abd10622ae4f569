import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {normalize} from '@egretrill/testkit';

const mainFile = fileURLToPath(new URL('../../dist/src/main.js', import.meta.url));

/** Result of one run of the command line. */
export type RawRun = {readonly exitCode: number; readonly stdout: string; readonly stderr: string};

/** Result of one run of the command line, normalized for snapshots. */
export type CliRun = RawRun;

/** Replaces values that differ from run to run, and the padding of tables, because ids and addresses differ in length. */
export function normalizeRun(text: string, dir?: string): string {
	return normalize(dir === undefined ? text : text.replaceAll(`${dir}${path.sep}`, ''))
		.replaceAll(/[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}/gv, 'UUID')
		.replaceAll(/(?<=only here:\n|"secret": ")[\w\-]{43}/gv, 'SECRET')
		.replaceAll(/(?<="tookMs":)[\d.]+/gv, 'TIME')
		.replaceAll(/(?<![.\d])\d+\.\d+(?![.\d])/gv, 'TIME')
		.replaceAll(/(?<=\S) {3,}/gv, '  ');
}

/** Runs a program of this repository in a process of its own and returns its output unchanged. */
export async function runProcess(args: readonly string[], env: Readonly<Record<string, string>> = {}, dir?: string): Promise<RawRun> {
	return new Promise(resolve => {
		execFile(process.execPath, args, {env, cwd: dir}, (err, stdout, stderr) => {
			resolve({exitCode: err ? Number(err.code) : 0, stdout, stderr});
		});
	});
}

/** Runs the built command line and returns its output unchanged. */
export async function runRawCli(args: readonly string[], env?: Readonly<Record<string, string>>, dir?: string): Promise<RawRun> {
	return runProcess([mainFile, ...args], env, dir);
}

/** Runs the built command line and normalizes its output. */
export async function runCli(args: readonly string[], env: Readonly<Record<string, string>> = {}, dir?: string): Promise<CliRun> {
	const {exitCode, stdout, stderr} = await runRawCli(args, env, dir);
	return {exitCode, stdout: normalizeRun(stdout, dir), stderr: normalizeRun(stderr, dir)};
}

/** Starts the command line, sends SIGTERM once it has printed a message, and waits for its exit. */
export async function startAndTerminateAfter(message: string, args: readonly string[], dir: string): Promise<CliRun> {
	const child = spawn(process.execPath, [mainFile, ...args], {env: {}, cwd: dir, stdio: ['ignore', 'pipe', 'pipe']});
	const stderr = text(child.stderr);
	const ended = once(child, 'exit');
	let stdout = '';
	for await (const bytes of child.stdout) {
		const isNew = !stdout.includes(message);
		stdout += String(bytes);
		if (isNew && stdout.includes(message)) {
			child.kill('SIGTERM');
		}
	}

	const [exitCode] = await ended as [number];
	return {exitCode, stdout: normalizeRun(stdout, dir), stderr: normalizeRun(await stderr, dir)};
}
