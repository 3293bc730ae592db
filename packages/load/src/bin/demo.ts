#!/usr/bin/env node
/**
 * The demonstration: one deployment as separate processes on loopback, real
 * traffic of several client accounts for a few seconds, a summary, and the
 * merged time line in a file. Exits with 1 when an answer was wrong.
 */
import {
	mkdir, readFile, readdir, rm, writeFile,
} from 'node:fs/promises';
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {uniformInt, xoroshiro128plus} from '../lib/random.js';
import {drawTimeline, mergeTimeline, parseLines} from '@sequoiatally/cli';
import {TimelineWriter} from '@sequoiatally/runtime';
import {request} from 'undici';
import {answerKind, Caller, type Answer} from '../lib/caller.js';
import {recordAnswer} from '../lib/record-answer.js';
import {Fleet} from '../lib/fleet.js';

const seed = 20_261_204;
const trafficMs = 6000;
const chatsPerAccount = 12;
const tokensPerAnswer = 16;
const resultDirectory = 'results/demo';

type Account = {readonly name: string; readonly rate: number};

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

await rm(resultDirectory, {recursive: true, force: true});
await mkdir(resultDirectory, {recursive: true});
const configurationText = await readFile('examples/rungwright.json', 'utf8');
const {accounts} = JSON.parse(configurationText) as {accounts: Account[]};
const keyed = accounts.filter(({name}) => name !== 'public');
const fleet = new Fleet({
	routerCount: 6, zones: ['scot-central-a', 'scot-central-b', 'scot-central-c'], modelPool: 'fitbrain', engineCount: 13, plainPool: 'fieldbook', plainCount: 3, configurationText, timelineDirectory: resultDirectory,
});

/** Time line of each client account's callers. */
const timelines = new Map(accounts.map(({name}) => [name, new TimelineWriter({
	process: 'caller', instanceId: `caller-${name}`, incarnation: randomUUID(),
}, `${resultDirectory}/caller-${name}.jsonl`)]));

type Kept = {readonly account: string; readonly sentKind: 'chat' | 'booking' | 'open'; readonly answer: Answer};
const kept: Kept[] = [];
let exitCode = 0;
try {
	print('Starting the configuration service, 13 engines, 3 plain services and 6 routers ...');
	await fleet.start();
	print(`Sending traffic of ${keyed.length} client accounts for ${trafficMs / 1000} s ...`);
	await sendTraffic();
	await printSummary();
} finally {
	await fleet.stop();
}

await Promise.all([...timelines.values()].map(async timeline => timeline.close()));
await writeTimeline();
process.exitCode = exitCode;

async function sendTraffic(): Promise<void> {
	const endAt = performance.now() + trafficMs;
	await Promise.all(keyed.map(async (account, index) => sendAccountTraffic(account, index, endAt)));
	const open = new Caller();
	await keepAnswer('public', 'open', open.callPlain(fleet.routers[0]!.callerAddress, {method: 'GET', path: '/public/notices'}));
	await open.close();
}

/** Sends at half of the account's rate; half of the calls go to one router, as a sticky balancer would. */
async function sendAccountTraffic({name, rate}: Account, index: number, endAt: number): Promise<void> {
	const random = xoroshiro128plus(seed + index);
	const caller = new Caller();
	const pending: Array<Promise<void>> = [];
	const key = `example-key-${name}`;
	const intervalMs = 1000 / Math.min(rate * 0.5, 30);
	for (let count = 0; performance.now() < endAt; count++) {
		const isSticky = uniformInt(random, 0, 1) === 0;
		const router = fleet.routers[isSticky ? index % fleet.routers.length : uniformInt(random, 0, fleet.routers.length - 1)]!;
		const isBooking = count % 10 === 9;
		const call = isBooking
			? caller.callPlain(router.callerAddress, {key, method: 'POST', path: '/v1/bookings'})
			: caller.callChat(router.callerAddress, {
				key, model: 'fitbrain', chatId: `${name}-chat-${uniformInt(random, 0, chatsPerAccount - 1)}`, maxTokens: tokensPerAnswer,
			});
		pending.push(keepAnswer(name, isBooking ? 'booking' : 'chat', call));
		// Arrivals are spaced in time, whatever the answers do.
		await new Promise(resolve => {
			setTimeout(resolve, intervalMs);
		});
	}

	await Promise.all(pending);
	await caller.close();
}

async function keepAnswer(account: string, sentKind: Kept['sentKind'], call: Promise<Answer>): Promise<void> {
	const answer = await call;
	kept.push({account, sentKind, answer});
	recordAnswer(timelines.get(account)!, answer);
}

async function printSummary(): Promise<void> {
	const answers = kept.map(({answer}) => answer);
	const whole = answers.filter(({kind}) => kind === answerKind.whole);
	const wrong = answers.filter(({kind}) => kind === answerKind.wrong);
	const refusals = countBy(answers.filter(({kind}) => kind === answerKind.refused).map(({reason, outcome}) => `${reason} (${outcome})`));
	const chats = kept.filter(({sentKind, answer}) => sentKind === 'chat' && answer.kind === answerKind.whole);
	const hits = chats.filter(({answer}) => answer.isCacheHit).length;
	const served = keyed.map(({name}) => {
		const own = kept.filter(({account}) => account === name);
		return {name, fraction: own.filter(({answer}) => answer.kind === answerKind.whole).length / own.length};
	}).sort((a, b) => a.fraction - b.fraction);
	print('');
	print(`answers             ${answers.length}: ${whole.length} whole, ${answers.length - whole.length - wrong.length} refused, ${wrong.length} wrong`);
	print(`refusals by type    ${[...refusals].map(([name, count]) => `${name}: ${count}`).join(', ') || 'none'}`);
	print(`cache reuse         ${formatPercent(hits / chats.length)} of ${chats.length} chat answers`);
	print(`load per target     ${[...countBy(chats.map(({answer}) => answer.targetId ?? '?'))].sort(([a], [b]) => a.localeCompare(b, 'en', {numeric: true})).map(([name, count]) => `${name}: ${count}`).join(', ')}`);
	print(`worst-served        ${served[0]!.name}: ${formatPercent(served[0]!.fraction)} of its requests answered`);
	await checkTargets();
	if (wrong.length > 0) {
		print(`WRONG ANSWERS       ${JSON.stringify(wrong.slice(0, 5))}`);
		exitCode = 1;
	}
}

/** Asks the stand-ins themselves what reached them. */
async function checkTargets(): Promise<void> {
	let doubled = 0;
	let keySightings = 0;
	let runCount = 0;
	for (const {address} of fleet.targets) {
		const {body} = await request(`http://${address}/control/stats`);
		const stats = await body.json() as {runs?: Record<string, number>; keySightings: number};
		keySightings += stats.keySightings;
		runCount += Object.keys(stats.runs ?? {}).length;
		doubled += Object.values(stats.runs ?? {}).filter(count => count > 1).length;
	}

	print(`plain runs          ${runCount}, run twice: ${doubled}`);
	print(`keys seen by targets ${keySightings}`);
	exitCode = doubled + keySightings > 0 ? 1 : exitCode;
}

/** Merges the files of all processes, and draws them as a page. */
async function writeTimeline(): Promise<void> {
	const names = await readdir(resultDirectory);
	const parts = await Promise.all(names.map(async name => parseLines(name, await readFile(`${resultDirectory}/${name}`, 'utf8'))));
	const merged = mergeTimeline(parts.flatMap(({lines}) => lines));
	await writeFile(`${resultDirectory}/timeline.jsonl`, merged.lines.map(line => `${JSON.stringify(line)}\n`).join(''));
	await writeFile(`${resultDirectory}/timeline.html`, drawTimeline(merged));
	print(`time line           ${merged.lines.length} entries of ${names.length} processes in ${resultDirectory}/timeline.jsonl, drawn in timeline.html`);
}

function countBy(values: readonly string[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const value of values) {
		counts.set(value, (counts.get(value) ?? 0) + 1);
	}

	return counts;
}

function formatPercent(fraction: number): string {
	return `${(fraction * 100).toFixed(1)}%`;
}
