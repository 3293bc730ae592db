/**
 * Merging and drawing of timelines: malformed lines, wrong clocks, and text that
 * contains markup.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {timelineKind} from '@sequoiatally/core';
import type {TimelineLine} from '@sequoiatally/runtime';
import fc from 'fast-check';
import {drawTimeline, mergeTimeline, parseLines} from '../index.js';

/** The entries of one request in the order in which they happen, each with the process that writes it. */
const requestSteps = [
	['caller', timelineKind.callerSent],
	['router', timelineKind.requestReceived],
	['router', timelineKind.requestDispatched],
	['engine', timelineKind.targetReceived],
	['router', timelineKind.attemptEnded],
	['router', timelineKind.requestCompleted],
	['caller', timelineKind.callerAnswered],
] as const;

/** Pairs of entries whose order is certain. A router may record the end of a request after its caller has received the answer, so that pair is left out. */
const certainOrders = [
	[timelineKind.callerSent, timelineKind.requestReceived],
	[timelineKind.requestReceived, timelineKind.requestDispatched],
	[timelineKind.requestDispatched, timelineKind.targetReceived],
	[timelineKind.targetReceived, timelineKind.attemptEnded],
	[timelineKind.attemptEnded, timelineKind.requestCompleted],
	[timelineKind.requestReceived, timelineKind.callerAnswered],
] as const;

type Clocks = Readonly<Record<string, number>>;

/** Creates the lines of a request that starts at `startMs`, with an entry every `stepMs`; `clocks` holds the clock offsets by process. */
function createRequestLines(requestId: string, startMs: number, stepMs: number, clocks: Clocks): TimelineLine[] {
	return requestSteps.map(([process, kind], index) => {
		const atMs = startMs + (index * stepMs);
		const wallMs = atMs + (clocks[process] ?? 0);
		return {
			wallMs, monotonicMs: atMs, process, instanceId: `${process}-1`, incarnation: 'i1', kind, cause: requestId, requestId, targetId: 'engine-1',
		};
	});
}

function listKinds(lines: ReadonlyArray<{readonly kind: string}>): string[] {
	return lines.map(({kind}) => kind);
}

const rightOrder = requestSteps.map(([, kind]) => kind);

test('truncated lines and lines of other formats are skipped and reported', () => {
	const [line] = createRequestLines('r1', 0, 10, {});
	const whole = JSON.stringify(line);
	const {lines, malformed} = parseLines('file', `${whole}\n${whole.slice(0, 40)}\n\n{"a":1}\nnull\n${whole.slice(0, -1)}`);
	assert.equal(lines.length, 1);
	assert.deepEqual(malformed.map(({lineNumber}) => lineNumber), [2, 4, 5, 6]);
});

test('a line that is in two sources is kept once', () => {
	const lines = createRequestLines('r1', 1000, 10, {});
	assert.equal(mergeTimeline([...lines, ...lines]).lines.length, lines.length);
});

test('a step of the wall clock does not change the order within a process', () => {
	const lines = createRequestLines('r1', 1000, 10, {});
	const stepped = lines.map(line => line.kind === timelineKind.requestCompleted ? {...line, wallMs: line.wallMs - 60_000} : line);
	assert.deepEqual(listKinds(mergeTimeline(stepped).lines), rightOrder);
});

test('correct clocks are not adjusted', () => {
	assert.equal(mergeTimeline(createRequestLines('r1', 1000, 10, {})).offsets.size, 0);
});

test('with any clock offsets, no entry precedes its cause', () => {
	const offset = fc.integer({min: -100_000, max: 100_000});
	fc.assert(fc.property(offset, offset, fc.integer({min: 1, max: 50}), fc.integer({min: 1, max: 5}), (caller, engine, stepMs, count) => {
		const lines = Array.from({length: count}, (_, index) => createRequestLines(`r${index}`, 1_000_000 + (index * 1000), stepMs, {caller, engine})).flat();
		const merged = mergeTimeline(lines).lines;
		for (let index = 0; index < count; index++) {
			const kinds = listKinds(merged.filter(({requestId}) => requestId === `r${index}`));
			for (const [cause, effect] of certainOrders) {
				assert.ok(kinds.indexOf(cause) < kinds.indexOf(effect), `${cause} before ${effect}: ${kinds.join(', ')}`);
			}
		}
	}), {seed: 64, numRuns: 300});
});

test('a page contains every lane and entry, and loads no other resource', () => {
	const lines = [...createRequestLines('r1', 1000, 10, {}), ...createRequestLines('r2', 1500, 10, {})];
	const page = drawTimeline(mergeTimeline(lines), 'r2');
	for (const name of ['caller-1', 'router-1', 'engine-1']) {
		assert.ok(page.includes(`>${name}</text>`), name);
	}

	assert.doesNotMatch(page, /<script|src=|@import|https?:/);
	assert.match(page, /<section id="request-r2" class="first">/);
	assert.equal(page.match(/<circle [^>]*r="3"/g)?.length, lines.length);
});

test('with many refusals, answered requests are still drawn in detail, and one of them is shown first', () => {
	const answered = createRequestLines('answered', 1000, 10, {});
	const refused = Array.from({length: 1000}, (_, index) => createRequestLines(`r${index}`, 2000 + index, 1, {}).slice(0, 2).flatMap(line => [
		line, {...line, kind: timelineKind.requestRefused, monotonicMs: line.monotonicMs + 0.5},
	])).flat();
	const page = drawTimeline(mergeTimeline([...refused, ...answered]));
	assert.match(page, /<section id="request-answered" class="first">/);
	assert.match(page, /<section id="request-r\d+">/);
});

test('no text of an entry becomes part of the page\'s markup', () => {
	const text = fc.oneof(fc.string(), fc.constantFrom('<script>alert(1)</script>', '"><img src=x>', '\'"&', '</svg></section>'));
	fc.assert(fc.property(text, text, text, (requestId, detail, instanceId) => {
		const lines = createRequestLines(requestId, 1000, 10, {}).map(line => ({...line, detail, instanceId: `i${instanceId}`}));
		const page = drawTimeline(mergeTimeline(lines), requestId);
		const tags = new Set(page.match(/<[a-z!][^\s>/]*/gi));
		const known = new Set([
			'<!doctype',
			'<html',
			'<head',
			'<meta',
			'<title',
			'<style',
			'<body',
			'<h1',
			'<p',
			'<span',
			'<svg',
			'<circle',
			'<line',
			'<text',
			'<polyline',
			'<a',
			'<section',
			'<h2',
			'<g',
			'<table',
			'<tr',
			'<th',
			'<td',
		]);
		assert.deepEqual([...tags].filter(tag => !known.has(tag)), []);
	}), {seed: 65, numRuns: 300});
});
