/** Handshake of a connection between an entry and an agent. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { HelloRefusedError } from './errors.js';
import { PROTOCOL_VERSION } from './messages.js';
import type { Frame, HelloMessage } from './messages.js';

/** Validates that a connection starts with a hello of this version from the expected peer. */
export function checkHello(
  frame: Frame,
  expectedRole: HelloMessage['role'],
  expectedName?: string,
): Result<HelloMessage, HelloRefusedError> {
  const hello = frame.messages[0];
  if (hello?.kind !== 'hello') {
    return err(new HelloRefusedError('the first message is not a hello'));
  }
  if (hello.version !== PROTOCOL_VERSION) {
    return err(
      new HelloRefusedError(`protocol version is ${hello.version}, expected ${PROTOCOL_VERSION}`),
    );
  }
  if (hello.role !== expectedRole) {
    return err(new HelloRefusedError(`peer role is ${hello.role}, expected ${expectedRole}`));
  }
  if (expectedName !== undefined && hello.name !== expectedName) {
    return err(new HelloRefusedError(`peer name is ${hello.name}, expected ${expectedName}`));
  }
  return ok(hello);
}
