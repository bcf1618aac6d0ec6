/** Classes of an HTTP answer's status. */

const MIN_SUCCESS_STATUS = 200
const MIN_REDIRECT_STATUS = 300

/** True for a status that says that the request succeeded. */
export function isSuccess (status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS
}
