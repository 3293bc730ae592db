/**
 * Tests how the time of an iteration of the event loop is divided among responses.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PacedReader, ReadPacing} from '../lib/read-pacing.js';

/** Time for reading in one iteration, in milliseconds. */
const maxMsPerIteration = 4;

/** Readers whose targets always have more to send; each part takes `partMs`. */
class Fixture {
	now = 0;
	readonly pacing: ReadPacing;
	readonly readers: Reader[];
	#handleEnd: (() => void) | undefined;
	readonly #partMs: number;

	constructor(readerCount: number, partMs: number) {
		this.#partMs = partMs;
		this.pacing = new ReadPacing(maxMsPerIteration, handleEnd => {
			assert.equal(this.#handleEnd, undefined, 'the end of an iteration is scheduled once');
			this.#handleEnd = handleEnd;
		});
		this.readers = Array.from({length: readerCount}, () => new Reader());
	}

	/** Runs one iteration, in which each reader that is not stopped receives a part; returns its duration in milliseconds. */
	runIteration(): number {
		const startedAt = this.now;
		for (const reader of this.readers.filter(({isStopped}) => !isStopped)) {
			this.now += this.#partMs;
			reader.partCount++;
			this.pacing.recordRead(reader, this.now);
		}

		this.endIteration();
		return this.now - startedAt;
	}

	endIteration(): void {
		const handleEnd = this.#handleEnd;
		this.#handleEnd = undefined;
		handleEnd?.();
	}
}

class Reader extends PacedReader {
	isStopped = false;
	partCount = 0;

	stopRead(): void {
		this.isStopped = true;
	}

	releaseRead(): void {
		this.isStopped = false;
	}
}

// Guards against iterations that last as long as all targets need, in which one connection is accepted.
test('once responses are paced, an iteration takes no longer for 500 of them than for 50', () => {
	const fixture = new Fixture(500, 0.2);
	assert.ok(fixture.runIteration() > 90, 'nothing stops readers before they have read');
	const longest = Math.max(...Array.from({length: 200}, () => fixture.runIteration()));
	assert.ok(longest <= 10, `${longest} ms`);
});

// Guards against responses that wait for good behind others.
test('no response that sends all the time is read more than twice as often as another', () => {
	const fixture = new Fixture(500, 0.2);
	for (let iteration = 0; iteration < 1000; iteration++) {
		fixture.runIteration();
	}

	const counts = fixture.readers.map(({partCount}) => partCount);
	assert.ok(Math.max(...counts) <= 2 * Math.min(...counts), `${Math.min(...counts)} to ${Math.max(...counts)} parts`);
});

// Guards against a delay of responses while the process keeps up.
test('nothing stops while all parts of an iteration are handled in its time', () => {
	const fixture = new Fixture(20, 0.1);
	for (let iteration = 0; iteration < 10; iteration++) {
		fixture.runIteration();
		assert.equal(fixture.pacing.stoppedCount, 0);
	}

	assert.ok(fixture.readers.every(({partCount}) => partCount === 10));
});

// Guards against readers that stop for good because a single part takes longer than an iteration should.
test('at least one response goes on in each iteration', () => {
	const fixture = new Fixture(3, 50);
	for (let iteration = 0; iteration < 30; iteration++) {
		fixture.runIteration();
	}

	assert.ok(fixture.readers.every(({partCount}) => partCount >= 10), fixture.readers.map(({partCount}) => partCount).join(', '));
});

// Guards against responses that stop for good because those that went on have nothing more to read.
test('all responses go on although those before them receive nothing more', () => {
	const fixture = new Fixture(50, 1);
	fixture.runIteration();
	assert.ok(fixture.pacing.stoppedCount > 0);
	for (let iteration = 0; iteration < 50; iteration++) {
		fixture.endIteration();
	}

	assert.equal(fixture.pacing.stoppedCount, 0);
	assert.ok(fixture.readers.every(({isStopped}) => !isStopped));
});

// Guards against readers that stay in memory after their response has ended.
test('a reader that ended is not released', () => {
	const fixture = new Fixture(2, 50);
	fixture.runIteration();
	const stopped = fixture.readers.filter(({isStopped}) => isStopped);
	for (const reader of stopped) {
		fixture.pacing.removeReader(reader);
	}

	fixture.runIteration();
	assert.equal(fixture.pacing.stoppedCount, 0);
	assert.ok(stopped.every(({isStopped}) => isStopped));
});
