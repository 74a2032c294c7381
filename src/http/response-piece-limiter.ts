/**
 * Limits the pieces in which a response arrives, so that one backend that sends tiny pieces without
 * end cannot occupy the process: each piece costs the same processor time, whatever its size.
 */
import { WeirvaleError } from '../request/errors.js';

/** Limits of one response. */
export interface ResponsePieceLimits {
  /** Pieces below this size are counted, in bytes. Default 64. */
  readonly smallPieceBytes: number;
  /**
   * Small pieces per second that a response may have in the long run. Default 1,000: many times the
   * tokens that an engine generates for one request.
   */
  readonly smallPiecesPerS: number;
  /** Small pieces that may exceed the rate, for example after a stall of the path. Default 2,000. */
  readonly smallPiecesBurst: number;
  /** Interim responses (status 1xx) before the final one. Default 16. */
  readonly interimResponses: number;
}

/** Default limits of a response. */
export const DEFAULT_RESPONSE_PIECE_LIMITS: ResponsePieceLimits = {
  smallPieceBytes: 64,
  smallPiecesPerS: 1_000,
  smallPiecesBurst: 2_000,
  interimResponses: 16,
};

const MS_PER_S = 1_000;

/** A response that arrives in more pieces than its limits allow. */
export class TooManyPiecesError extends WeirvaleError {
  readonly code = 'too-many-pieces';

  constructor(
    readonly kind: 'small pieces' | 'interim responses',
    readonly count: number,
  ) {
    super(`too many ${kind} in a response: ${count}`);
  }
}

/** Counts the pieces of one response. */
export class ResponsePieceLimiter {
  private interimResponses = 0;
  private smallPieces = 0;
  private firstPieceAtMs: number | undefined;

  constructor(
    private readonly nowMs: () => number,
    private readonly limits = DEFAULT_RESPONSE_PIECE_LIMITS,
  ) {}

  /** Counts an interim response; returns an error if there are too many. */
  countInterim(): TooManyPiecesError | undefined {
    this.interimResponses += 1;
    return this.interimResponses > this.limits.interimResponses
      ? new TooManyPiecesError('interim responses', this.interimResponses)
      : undefined;
  }

  /** Counts a piece of the body; returns an error if there are too many small ones. */
  countPiece(bytes: number): TooManyPiecesError | undefined {
    const { smallPieceBytes, smallPiecesPerS, smallPiecesBurst } = this.limits;
    if (bytes >= smallPieceBytes) {
      return undefined;
    }
    this.smallPieces += 1;
    if (this.smallPieces <= smallPiecesBurst) {
      this.firstPieceAtMs ??= this.nowMs();
      return undefined;
    }
    const elapsedS = (this.nowMs() - this.firstPieceAtMs!) / MS_PER_S;
    return this.smallPieces > smallPiecesBurst + elapsedS * smallPiecesPerS
      ? new TooManyPiecesError('small pieces', this.smallPieces)
      : undefined;
  }
}
