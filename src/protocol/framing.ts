/** Frames: a four-byte big-endian length, then one cbor value with record structures shared along the connection. */
import { Decoder, Encoder } from 'cbor-x';
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { FrameTooLongError, MalformedFrameError, TruncatedFrameError } from './errors.js';
import type { ProtocolError } from './errors.js';
import { frameSchema } from './messages.js';
import type { Frame } from './messages.js';

const HEADER_BYTES = 4;

/** Longest frame that is accepted, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Encodes the frames of one direction of one connection. */
export class FrameEncoder {
  private readonly encoder = new Encoder({ sequential: true });

  /** The bytes of `frame`, header included; they must be sent in the order they were encoded in. */
  encode(frame: Frame): Buffer {
    const body = this.encoder.encode(frame);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    bytes.writeUInt32BE(body.length, 0);
    body.copy(bytes, HEADER_BYTES);
    return bytes;
  }
}

/** Decodes the frames of one direction of one connection; unusable after its first failure. */
export class FrameDecoder {
  private readonly decoder = new Decoder({ sequential: true, structures: [] });
  private pending: Buffer = Buffer.alloc(0);

  constructor(private readonly maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** Takes received bytes and returns the frames that they complete. */
  push(bytes: Buffer): Result<Frame[], ProtocolError> {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const frames: Frame[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > this.maxFrameBytes) {
        return err(new FrameTooLongError(length, this.maxFrameBytes));
      }
      if (this.pending.length < HEADER_BYTES + length) {
        break;
      }
      const body = this.pending.subarray(HEADER_BYTES, HEADER_BYTES + length);
      this.pending = this.pending.subarray(HEADER_BYTES + length);
      const frame = this.decodeBody(body);
      if (!frame.ok) {
        return err(frame.val);
      }
      frames.push(frame.val);
    }
    return ok(frames);
  }

  /** Says whether the connection may end here: not in the middle of a frame. */
  end(): Result<void, ProtocolError> {
    return this.pending.length === 0
      ? ok(undefined)
      : err(
          new TruncatedFrameError(`connection ended after ${this.pending.length} bytes of a frame`),
        );
  }

  private decodeBody(body: Buffer): Result<Frame, ProtocolError> {
    let value: unknown;
    try {
      value = this.decoder.decode(body);
    } catch (cause) {
      return err(new MalformedFrameError(`not cbor: ${String(cause)}`));
    }
    const parsed = frameSchema.safeParse(value);
    return parsed.success
      ? ok(parsed.data)
      : err(new MalformedFrameError(parsed.error.issues[0]?.message ?? 'not a frame'));
  }
}
