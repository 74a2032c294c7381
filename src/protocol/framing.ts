/** Frames between entries and agents: CBOR values that match the message schema. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { CborFrameDecoder, CborFrameEncoder, MAX_FRAME_BYTES } from './cbor-frames.js';
import { MalformedFrameError } from './errors.js';
import { frameSchema } from './messages.js';
import type { Frame } from './messages.js';

export { MAX_FRAME_BYTES } from './cbor-frames.js';

/** Encodes the frames that one side of a connection sends. */
export class FrameEncoder extends CborFrameEncoder<Frame> {}

/** Decodes the frames received on a connection; unusable after the first failure. */
export class FrameDecoder extends CborFrameDecoder<Frame> {
  constructor(maxFrameBytes: number = MAX_FRAME_BYTES) {
    super(validateFrame, maxFrameBytes);
  }
}

function validateFrame(value: unknown): Result<Frame, MalformedFrameError> {
  const parsed = frameSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(new MalformedFrameError(parsed.error.issues[0]?.message ?? 'not a frame'));
}
