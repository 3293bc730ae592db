/**
 * The runner: feeds events to the reducer and carries out its effects. All
 * events pass through here, one after the other, on one thread.
 */
import {
	effectKind, reduce, type AnswerBorrowEffect,
	type BorrowEffect, type CancelEffect, type DispatchEffect, type Effect, type Event,
	type ExchangeEffect, type FetchDocumentEffect, type ForwardEffect, type GiveBackEffect, type ProbeEffect, type ReadDocumentEffect, type RefuseEffect,
	type RememberAnswerEffect, type ReplayEffect, type State, type TimelineEntry,
} from '@sequoiatally/core';
import {EventQueue} from '@sequoiatally/runtime';

/**
 * What carries effects out. Each method starts its work and returns at once;
 * the outcome comes back as an event.
 */
export abstract class EffectHandler {
	/** Sees every effect before it is carried out. */
	observe(_effect: Effect): void {
		// Nothing to do unless a handler counts effects.
	}

	abstract dispatch(effect: DispatchEffect): void;
	abstract refuse(effect: RefuseEffect): void;
	abstract cancel(effect: CancelEffect): void;
	abstract forward(effect: ForwardEffect): void;
	abstract rememberAnswer(effect: RememberAnswerEffect): void;
	abstract replay(effect: ReplayEffect): void;
	abstract probe(effect: ProbeEffect): void;
	abstract readDocument(effect: ReadDocumentEffect): void;
	abstract fetchDocument(effect: FetchDocumentEffect): void;
	abstract exchange(effect: ExchangeEffect): void;
	abstract borrow(effect: BorrowEffect): void;
	abstract answerBorrow(effect: AnswerBorrowEffect): void;
	abstract giveBack(effect: GiveBackEffect): void;
	abstract record(entry: TimelineEntry): void;
	abstract finishDrain(): void;
}

/** Runs one router's reducer. */
export class Runner {
	readonly #queue = new EventQueue<Event>(event => {
		for (const effect of reduce(this.state, event, this.readClock())) {
			this.#execute(effect);
		}
	});

	#handler?: EffectHandler;

	/** `readClock` tells the present time of every decision, in milliseconds. */
	constructor(readonly state: State, readonly readClock: () => number) {}

	/** Sets what carries effects out; has to be called before the first event. */
	setEffectHandler(handler: EffectHandler): void {
		this.#handler = handler;
	}

	/** Handles an event and all that follow from its effects at once. */
	handle(event: Event): void {
		this.#queue.handle(event);
	}

	#execute(effect: Effect): void {
		const handler = this.#handler!;
		handler.observe(effect);
		switch (effect.kind) {
			case effectKind.dispatch: {
				handler.dispatch(effect);
				break;
			}

			case effectKind.refuse: {
				handler.refuse(effect);
				break;
			}

			case effectKind.cancel: {
				handler.cancel(effect);
				break;
			}

			case effectKind.forward: {
				handler.forward(effect);
				break;
			}

			case effectKind.rememberAnswer: {
				handler.rememberAnswer(effect);
				break;
			}

			case effectKind.replay: {
				handler.replay(effect);
				break;
			}

			case effectKind.probe: {
				handler.probe(effect);
				break;
			}

			case effectKind.readDocument: {
				handler.readDocument(effect);
				break;
			}

			case effectKind.fetchDocument: {
				handler.fetchDocument(effect);
				break;
			}

			case effectKind.exchange: {
				handler.exchange(effect);
				break;
			}

			case effectKind.borrow: {
				handler.borrow(effect);
				break;
			}

			case effectKind.answerBorrow: {
				handler.answerBorrow(effect);
				break;
			}

			case effectKind.giveBack: {
				handler.giveBack(effect);
				break;
			}

			case effectKind.record: {
				handler.record(effect.entry);
				break;
			}

			case effectKind.finishDrain: {
				handler.finishDrain();
				break;
			}
		}
	}
}
