package org.sageladder.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.permit.RecordedAnswer;
import org.sageladder.entry.exchange.BodyPipe;
import org.sageladder.entry.exchange.CallerExchange;
import org.sageladder.entry.exchange.ForwardedEntity;

/** Converts a response to the form in which the permit's issuer records it, and replays it. */
final class ResponseRecording {
  private final int status;
  private final List<RecordedAnswer.Header> headers;

  private ResponseRecording(int status, List<RecordedAnswer.Header> headers) {
    this.status = status;
    this.headers = headers;
  }

  /** Copies the head now, because sending it adds headers of the connection. */
  static ResponseRecording start(HttpResponse response, @Nullable EntityDetails details) {
    List<RecordedAnswer.Header> headers = new ArrayList<>();
    for (Header header : response.getHeaders()) {
      headers.add(new RecordedAnswer.Header(header.getName(), header.getValue()));
    }
    if (details != null && details.getContentType() != null) {
      headers.add(new RecordedAnswer.Header(HttpHeaders.CONTENT_TYPE, details.getContentType()));
    }
    if (details != null && details.getContentEncoding() != null) {
      headers.add(
          new RecordedAnswer.Header(HttpHeaders.CONTENT_ENCODING, details.getContentEncoding()));
    }
    return new ResponseRecording(response.getCode(), headers);
  }

  /** The recorded response; without {@code body} it states only that there was one. */
  RecordedAnswer finish(Optional<byte[]> body) {
    return body.map(bytes -> RecordedAnswer.complete(status, headers, bytes))
        .orElseGet(RecordedAnswer::notKept);
  }

  /** Responds to a repeated request with the recorded response. */
  static void replay(CallerExchange exchange, RecordedAnswer recorded) {
    BasicHttpResponse response = new BasicHttpResponse(recorded.status());
    String type = null;
    String encoding = null;
    for (RecordedAnswer.Header header : recorded.headers()) {
      switch (header.name()) {
        case HttpHeaders.CONTENT_TYPE -> type = header.value();
        case HttpHeaders.CONTENT_ENCODING -> encoding = header.value();
        default -> response.addHeader(header.name(), header.value());
      }
    }
    boolean empty = recorded.body().length == 0;
    exchange.respond(
        response,
        empty ? null : new ForwardedEntity(recorded.body().length, type, encoding),
        BodyPipe.of(recorded.body()));
  }
}
