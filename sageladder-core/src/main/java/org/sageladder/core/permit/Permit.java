package org.sageladder.core.permit;

/**
 * The right to run one request at most once, given by the one incarnation that may run it.
 *
 * <p>Example: {@code new Permit("tallinn-a-1", 7, 4211, 1764702000000L, "kannelkoda", "donations",
 * "", "10.1.0.18:8080")}.
 *
 * @param home entry VM that minted the permit and alone may execute it
 * @param incarnation incarnation of the home; a later incarnation knows nothing of the permit
 * @param sequence position in the incarnation's own order, from 1
 * @param expiryMillis wall clock of the home after which the permit is never executed
 * @param boundTo digest of the idempotency key that the permit was minted for, or empty
 * @param homeAddress callers' address of the home as HOST:PORT, or empty where it is not told
 */
public record Permit(
    String home,
    long incarnation,
    long sequence,
    long expiryMillis,
    String customer,
    String service,
    String boundTo,
    String homeAddress) {

  /** The same permit, which also tells where its home takes requests. */
  public Permit at(String homeAddress) {
    return new Permit(
        home, incarnation, sequence, expiryMillis, customer, service, boundTo, homeAddress);
  }
}
