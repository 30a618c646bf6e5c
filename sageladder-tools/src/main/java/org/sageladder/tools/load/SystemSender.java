package org.sageladder.tools.load;

import java.util.List;
import org.sageladder.client.Answer;
import org.sageladder.client.ClientOptions;
import org.sageladder.client.Request;
import org.sageladder.client.SageladderClient;
import org.sageladder.tools.load.RequestResult.Outcome;

/** Sends requests through sageladder with the client library. */
final class SystemSender implements Sender {
  private static final int CONNECTIONS_PER_ENTRY = 256;

  private final String customer;
  private final SageladderClient client;

  private SystemSender(String customer, SageladderClient client) {
    this.customer = customer;
    this.client = client;
  }

  /**
   * Creates a sender for {@code customer} that uses the entry VMs at {@code addresses} as seeds.
   */
  static SystemSender of(String customer, List<String> addresses) {
    ClientOptions options =
        ClientOptions.seeds(addresses).maxConnectionsPerEntry(CONNECTIONS_PER_ENTRY);
    return new SystemSender(customer, SageladderClient.start(options));
  }

  @Override
  public SendResult send(Arrival arrival) {
    TargetRequest targetRequest = TargetRequest.of(arrival);
    Request request =
        arrival.repeatable()
            ? Request.get(customer, arrival.service(), arrival.block(), targetRequest.path())
            : Request.post(
                customer,
                arrival.service(),
                arrival.block(),
                targetRequest.path(),
                targetRequest.body(),
                "application/octet-stream");
    return classify(
        client.send(request.deadline(arrival.deadline()).id(arrival.requestId())), targetRequest);
  }

  private static SendResult classify(Answer answer, TargetRequest request) {
    if (answer instanceof Answer.Complete complete) {
      return classifyComplete(complete, request);
    }
    if (answer instanceof Answer.RanAnswerUnavailable ran) {
      return new SendResult(Outcome.RAN_UNSEEN, ran.code().name(), "", ran.attemptCount());
    }
    if (answer instanceof Answer.NotRun notRun) {
      return new SendResult(Outcome.NOT_RUN, notRun.code().name(), "", notRun.attemptCount());
    }
    Answer.Unknown unknown = (Answer.Unknown) answer;
    return new SendResult(Outcome.UNKNOWN, unknown.code().name(), "", unknown.attemptCount());
  }

  /**
   * A status other than 200 comes from the target itself, such as 504 after the deadline, so the
   * request ran or may have run.
   */
  private static SendResult classifyComplete(Answer.Complete complete, TargetRequest request) {
    if (complete.status() != 200) {
      return new SendResult(
          Outcome.UNKNOWN,
          "STATUS_" + complete.status(),
          complete.target(),
          complete.attemptCount());
    }
    String checksum = complete.header(TargetRequest.CHECKSUM_HEADER).orElse("");
    boolean isCorrect = request.isAnsweredBy(checksum, complete.body());
    return new SendResult(
        isCorrect ? Outcome.WHOLE : Outcome.WRONG,
        "OK",
        complete.target(),
        complete.attemptCount());
  }

  @Override
  public void close() {
    client.close();
  }
}
