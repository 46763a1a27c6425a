/**
 * Responses whose status is none, in each framing of a body.
 */
import InvalidResponse from './InvalidResponse.js';

/** Texts that stand where a final response has a status from 200 to 599. */
const INVALID_STATUSES: readonly string[] = [
  '000',
  '007',
  '099',
  '199',
  '600',
  '999',
  '00',
  '0',
  '2000',
  '2 00',
  '-200',
  '-1',
  'abc',
  '2x0',
  '',
];

/** Returns one response for each status and framing; `fields` are further lines of the head, each with its end. */
export default function buildInvalidResponses(
  fields: string,
  body: string,
): readonly InvalidResponse[] {
  const length = `Content-Length: ${Buffer.byteLength(body)}\r\n`;
  const chunked = 'Transfer-Encoding: chunked\r\n';
  const chunks = `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n0\r\n\r\n`;
  const whole = `HTTP/1.1 200 OK\r\n${fields}${length}\r\n${body}`;
  const wholeLength = `Content-Length: ${Buffer.byteLength(whole)}\r\n`;
  const close = 'Connection: close\r\n';
  const early = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
  return INVALID_STATUSES.flatMap((status) => {
    const line = `HTTP/1.1 ${status} Invalid\r\n${fields}`;
    const cut = line.indexOf(' Invalid') - 1;
    return [
      new InvalidResponse(`'${status}' with a length`, [`${line}${length}\r\n${body}`], false),
      new InvalidResponse(`'${status}' with length 0`, [`${line}Content-Length: 0\r\n\r\n`], false),
      new InvalidResponse(`'${status}' in chunks`, [`${line}${chunked}\r\n${chunks}`], false),
      new InvalidResponse(`'${status}' without a length`, [`${line}${close}\r\n${body}`], true),
      new InvalidResponse(`'${status}' without end`, [`${line}${close}\r\n${body}`], false),
      new InvalidResponse(
        `'${status}' behind an interim response`,
        [early, `${line}${length}\r\n${body}`],
        false,
      ),
      new InvalidResponse(
        `'${status}' in two parts`,
        [line.slice(0, cut), `${line.slice(cut)}${length}\r\n${body}`],
        false,
      ),
      new InvalidResponse(
        `'${status}' whose body looks like a response`,
        [`${line}${wholeLength}\r\n${whole}`],
        false,
      ),
      new InvalidResponse(
        `'${status}' whose chunks look like a response`,
        [`${line}${chunked}\r\n${whole}`],
        false,
      ),
    ];
  });
}
