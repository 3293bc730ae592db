/**
 * Passes events to the reducer and executes the effects that it returns. All
 * events of a router are handled here sequentially, on one thread.
 */
import {
	effectKind, reduce, type AnswerBorrowEffect,
	type BorrowEffect, type CancelEffect, type DispatchEffect, type Effect, type Event,
	type ExchangeEffect, type FetchDocumentEffect, type ForwardEffect, type GiveBackEffect, type ProbeEffect, type ReadDocumentEffect, type RefuseEffect,
	type RememberAnswerEffect, type ReplayEffect, type State, type TimelineEntry,
} from '@sequoiatally/core';
import {EventQueue} from '@sequoiatally/runtime';

/**
 * Executes effects. Each method starts its work and returns immediately; the
 * outcome, if the reducer needs it, is emitted as an event.
 */
export abstract class EffectHandler {
	/** Called with every effect before it is executed. */
	observe(_effect: Effect): void {
		// Overridden by handlers that count effects.
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

/** Runs the reducer of one router. */
export class Runner {
	readonly #queue = new EventQueue<Event>(event => {
		for (const effect of reduce(this.state, event, this.readClock())) {
			this.#executeEffect(effect);
		}
	});

	#handler?: EffectHandler;

	/** `readClock` returns the present time for each decision, in milliseconds. */
	constructor(readonly state: State, readonly readClock: () => number) {}

	/** Sets the handler that executes effects. Must be called before the first event. */
	setEffectHandler(handler: EffectHandler): void {
		this.#handler = handler;
	}

	/** Handles an event and all events that its effects emit synchronously. */
	handle(event: Event): void {
		this.#queue.handle(event);
	}

	#executeEffect(effect: Effect): void {
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
