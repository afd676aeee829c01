package org.curranthaven.internal.gateway;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.curranthaven.api.Configuration;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Model;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.PlainService;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Workspace;
import org.curranthaven.internal.ledger.Ledger;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.StoredResponse;

/** HTTP API for callers: completions in the OpenAI format, and plain services. Thread-safe. */
public final class CallerApi {
  /** Header that names the service class of a request. */
  public static final String CLASS_HEADER = "Curranthaven-Class";

  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String ISSUED_AT_HEADER = "Curranthaven-Issued-At";
  private static final String SERVICES_PREFIX = "/services/";
  private static final int STATUS_OK = 200;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final Set<String> METHODS_RETRIED_BY_CLIENTS = Set.of("GET", "HEAD");

  private final GatewayServices services;
  private final Ledger ledger;
  private final ServiceClient serviceClient = new ServiceClient();
  private final int maxBodyBytes;
  private final BooleanSupplier draining;
  private final RandomGenerator random;
  private final WorkspaceKeyIndex workspaceKeys = new WorkspaceKeyIndex();

  /** Creates the callers' API of a host. */
  public CallerApi(
      Router router,
      Ledger ledger,
      Clock clock,
      Metrics metrics,
      int maxBodyBytes,
      BooleanSupplier draining,
      RandomGenerator random) {
    this.services = new GatewayServices(router, new EngineClient(), clock, metrics);
    this.ledger = ledger;
    this.maxBodyBytes = maxBodyBytes;
    this.draining = draining;
    this.random = random;
  }

  /** An admitted request: its workspace, class and key are known. */
  private record AdmittedRequest(
      Workspace workspace, ServiceClass serviceClass, IdempotencyKey key, long arrivedAtMillis) {}

  /** Handles one request. */
  void handle(HttpRequestContext context) throws IOException, InterruptedException {
    long arrivedAtMillis = services.clock().nowMillis();
    String path = context.path();
    if (path.equals("/v1/chat/completions")) {
      handleCompletion(context, true, arrivedAtMillis);
    } else if (path.equals("/v1/completions")) {
      handleCompletion(context, false, arrivedAtMillis);
    } else if (path.equals("/v1/models")) {
      listModels(context);
    } else if (path.startsWith(SERVICES_PREFIX)) {
      handleService(context, arrivedAtMillis);
    } else {
      context.failure(Failure.of(ResultCode.UNKNOWN_PATH, "path '" + path + "' does not exist"));
    }
  }

  // ---- completions ------------------------------------------------------------------------------

  private void handleCompletion(HttpRequestContext context, boolean chat, long arrivedAtMillis)
      throws IOException, InterruptedException {
    if (!context.method().equals("POST")) {
      reject(
          context,
          Failure.of(
              ResultCode.METHOD_NOT_ALLOWED,
              "method " + context.method() + " is not allowed: completions require POST"));
      return;
    }
    Outcome<byte[]> body = context.body(maxBodyBytes);
    if (body instanceof Outcome.Failed<byte[]> failed) {
      reject(context, failed.failure());
      return;
    }
    byte[] bodyBytes = ((Outcome.Success<byte[]>) body).value();
    Configuration configuration = services.router().configuration();
    Outcome<AdmittedRequest> admission = admit(context, configuration, "", arrivedAtMillis);
    if (admission instanceof Outcome.Failed<AdmittedRequest> failed) {
      reject(context, failed.failure());
      return;
    }
    Outcome<CompletionRequest> parsed = CompletionRequest.parse(chat, bodyBytes);
    if (parsed instanceof Outcome.Failed<CompletionRequest> failed) {
      reject(context, failed.failure());
      return;
    }
    CompletionRequest request = ((Outcome.Success<CompletionRequest>) parsed).value();
    Model model = configuration.models().get(request.model());
    if (model == null) {
      reject(
          context,
          Failure.of(
              ResultCode.UNKNOWN_MODEL, "model '" + request.model() + "' is not configured"));
      return;
    }
    AdmittedRequest admitted = ((Outcome.Success<AdmittedRequest>) admission).value();
    services.metrics().requested(admitted.serviceClass().name());
    RequestAttributes attributes = completionAttributes(admitted, request, model);
    context.setHeader("X-Request-Id", admitted.key().key());
    if (admitted.serviceClass().repeatable()) {
      runCompletion(context, admitted, request, attributes);
    } else {
      runIdempotentCompletion(context, admitted, request, attributes, bodyBytes);
    }
  }

  private static RequestAttributes completionAttributes(
      AdmittedRequest admitted, CompletionRequest request, Model model) {
    int limit =
        request.maxTokens() == 0
            ? model.maxOutputTokens()
            : Math.min(request.maxTokens(), model.maxOutputTokens());
    return new RequestAttributes(
        0,
        admitted.workspace().name(),
        admitted.serviceClass().name(),
        admitted.serviceClass().targets(),
        model.name(),
        request.promptTokens(),
        limit,
        request.prefixHash(),
        admitted.arrivedAtMillis(),
        Set.of());
  }

  private CompletionFormat completionFormat(CompletionRequest request) {
    return new CompletionFormat(request, services.clock().epochMillis() / MILLIS_PER_SECOND);
  }

  private void runCompletion(
      HttpRequestContext context,
      AdmittedRequest admitted,
      CompletionRequest request,
      RequestAttributes attributes)
      throws IOException, InterruptedException {
    CompletionFormat format = completionFormat(request);
    if (!request.stream()) {
      Outcome<Completion> outcome = generate(admitted, request, attributes, new NonStreamingSink());
      switch (outcome) {
        case Outcome.Success<Completion> success ->
            context.json(STATUS_OK, format.response(success.value()));
        case Outcome.Failed<Completion> failed -> fail(context, admitted, failed.failure());
      }
      return;
    }
    StreamingSink sink = new StreamingSink(context, format);
    try {
      endStream(context, admitted, request, sink, run(admitted, request, attributes, sink));
    } catch (TokenSink.CallerDisconnectedException e) {
      // The generation was cancelled; no response can be sent.
    }
  }

  private void endStream(
      HttpRequestContext context,
      AdmittedRequest admitted,
      CompletionRequest request,
      StreamingSink sink,
      Outcome<Completion> outcome)
      throws IOException, TokenSink.CallerDisconnectedException {
    switch (outcome) {
      case Outcome.Success<Completion> success ->
          sink.finish(success.value(), request.includeUsage());
      case Outcome.Failed<Completion> failed -> {
        if (context.responseStarted()) {
          services.metrics().failed(admitted.serviceClass().name(), failed.failure().code());
          sink.fail(failed.failure());
        } else {
          fail(context, admitted, failed.failure());
        }
      }
    }
  }

  private Outcome<Completion> run(
      AdmittedRequest admitted,
      CompletionRequest request,
      RequestAttributes attributes,
      TokenSink sink)
      throws InterruptedException, TokenSink.CallerDisconnectedException {
    return new GenerationHandler(
            services, admitted.key().key(), request, attributes, admitted.serviceClass(), sink)
        .run();
  }

  private Outcome<Completion> generate(
      AdmittedRequest admitted,
      CompletionRequest request,
      RequestAttributes attributes,
      NonStreamingSink sink)
      throws InterruptedException {
    try {
      return run(admitted, request, attributes, sink);
    } catch (TokenSink.CallerDisconnectedException e) {
      throw new IllegalStateException(
          "a non-streaming sink cannot detect that the caller has disconnected", e);
    }
  }

  /**
   * Runs a completion that must not be repeated. The complete response is collected and stored
   * before it is sent; a caller that requested a stream gets it as a stream of one token.
   */
  private void runIdempotentCompletion(
      HttpRequestContext context,
      AdmittedRequest admitted,
      CompletionRequest request,
      RequestAttributes attributes,
      byte[] body)
      throws IOException, InterruptedException {
    CompletionFormat format = completionFormat(request);
    ByteString requestHash = Hashes.sha256(utf8(context.path()), body);
    Outcome<StoredResponse> outcome =
        runIdempotent(
            admitted,
            requestHash,
            () ->
                switch (generate(admitted, request, attributes, new NonStreamingSink())) {
                  case Outcome.Success<Completion> success ->
                      Outcome.success(storedJson(format.response(success.value())));
                  case Outcome.Failed<Completion> failed -> Outcome.failed(failed.failure());
                });
    switch (outcome) {
      case Outcome.Success<StoredResponse> success -> {
        if (request.stream() && success.value().getStatus() == STATUS_OK) {
          sendStoredAsStream(context, format, request, success.value());
        } else {
          context.sendStored(success.value());
        }
      }
      case Outcome.Failed<StoredResponse> failed -> fail(context, admitted, failed.failure());
    }
  }

  private static void sendStoredAsStream(
      HttpRequestContext context,
      CompletionFormat format,
      CompletionRequest request,
      StoredResponse response)
      throws IOException {
    Completion completion = StoredCompletion.parse(response.getBody());
    StreamingSink sink = new StreamingSink(context, format);
    try {
      sink.accept(
          new EngineToken(
              completion.generation(), 0, completion.text(), completion.finishReason(), 0));
      sink.finish(completion, request.includeUsage());
    } catch (TokenSink.CallerDisconnectedException e) {
      // The response is stored; the caller can request it again with the same key.
    }
  }

  private static StoredResponse storedJson(Object value) {
    return StoredResponse.newBuilder()
        .setStatus(STATUS_OK)
        .setContentType(ErrorBodies.JSON)
        .setBody(Json.write(value))
        .build();
  }

  private void listModels(HttpRequestContext context) throws IOException {
    context.json(
        STATUS_OK,
        Map.of(
            "object",
            "list",
            "data",
            services.router().configuration().models().keySet().stream()
                .map(name -> Map.of("id", name, "object", "model", "owned_by", "curranthaven"))
                .toList()));
  }

  // ---- plain services ---------------------------------------------------------------------------

  private void handleService(HttpRequestContext context, long arrivedAtMillis)
      throws IOException, InterruptedException {
    String[] pathParts = context.path().substring(SERVICES_PREFIX.length()).split("/", 2);
    Configuration configuration = services.router().configuration();
    PlainService service = configuration.services().get(pathParts[0]);
    if (service == null) {
      reject(
          context,
          Failure.of(
              ResultCode.UNKNOWN_SERVICE, "service '" + pathParts[0] + "' is not configured"));
      return;
    }
    Outcome<byte[]> body = context.body(maxBodyBytes);
    if (body instanceof Outcome.Failed<byte[]> failed) {
      reject(context, failed.failure());
      return;
    }
    Outcome<AdmittedRequest> admission =
        admit(context, configuration, service.defaultClass(), arrivedAtMillis);
    if (admission instanceof Outcome.Failed<AdmittedRequest> failed) {
      reject(context, failed.failure());
      return;
    }
    AdmittedRequest admitted = ((Outcome.Success<AdmittedRequest>) admission).value();
    byte[] bodyBytes = ((Outcome.Success<byte[]>) body).value();
    services.metrics().requested(admitted.serviceClass().name());
    runService(context, admitted, service, bodyBytes);
  }

  private void runService(
      HttpRequestContext context, AdmittedRequest admitted, PlainService service, byte[] body)
      throws IOException, InterruptedException {
    String path = context.rawPath().substring(SERVICES_PREFIX.length() + service.name().length());
    String contentType = context.header("Content-Type");
    boolean repeatable = admitted.serviceClass().repeatable();
    ServiceClient.ServiceRequest request =
        new ServiceClient.ServiceRequest(
            context.method(),
            path.startsWith("/") ? path : "/" + path,
            contentType == null ? "" : contentType,
            ByteString.copyFrom(body),
            repeatable ? "" : admitted.key().key());
    RequestAttributes attributes = serviceAttributes(admitted, service);
    ServiceRequestHandler handler =
        new ServiceRequestHandler(services, serviceClient, admitted.serviceClass());
    context.setHeader("X-Request-Id", admitted.key().key());
    if (!repeatable && METHODS_RETRIED_BY_CLIENTS.contains(context.method())) {
      reject(
          context,
          Failure.of(
              ResultCode.METHOD_NOT_ALLOWED,
              context.method()
                  + " requests may be retried by clients and proxies, but requests of class '"
                  + admitted.serviceClass().name()
                  + "' must not be repeated"));
      return;
    }
    Outcome<StoredResponse> outcome =
        repeatable
            ? handler.run(admitted.key().key(), attributes, request)
            : runIdempotent(
                admitted,
                Hashes.sha256(utf8(context.method()), utf8(context.rawPath()), body),
                () -> handler.run(admitted.key().key(), attributes, request));
    switch (outcome) {
      case Outcome.Success<StoredResponse> success -> {
        long elapsedMillis = services.clock().nowMillis() - admitted.arrivedAtMillis();
        services.metrics().firstReply(admitted.serviceClass(), elapsedMillis);
        context.sendStored(success.value());
      }
      case Outcome.Failed<StoredResponse> failed -> fail(context, admitted, failed.failure());
    }
  }

  private static RequestAttributes serviceAttributes(
      AdmittedRequest admitted, PlainService service) {
    return new RequestAttributes(
        0,
        admitted.workspace().name(),
        admitted.serviceClass().name(),
        admitted.serviceClass().targets(),
        "service:" + service.name(),
        0,
        1,
        0,
        admitted.arrivedAtMillis(),
        Set.of());
  }

  // ---- admission and idempotency ----------------------------------------------------------------

  private Outcome<StoredResponse> runIdempotent(
      AdmittedRequest admitted,
      ByteString requestHash,
      IdempotentRequestHandler.Execution execution)
      throws InterruptedException {
    IdempotencyKey key = admitted.key();
    Ledger.ClaimRequest claim =
        new Ledger.ClaimRequest(
            admitted.workspace().name(),
            key.key(),
            key.issuedAtMillis(),
            requestHash,
            IdempotencyKey.uuidWithTime(key.issuedAtMillis(), random).toString());
    return new IdempotentRequestHandler(ledger, services.router(), services.clock())
        .run(claim, admitted.serviceClass().targets().answerMillis(), execution);
  }

  private Outcome<AdmittedRequest> admit(
      HttpRequestContext context,
      Configuration configuration,
      String defaultClass,
      long arrivedAtMillis) {
    if (draining.getAsBoolean()) {
      return Outcome.failed(
          Failure.retryLater(
              ResultCode.HOST_DRAINING, "this host is draining and accepts no new requests", 1));
    }
    if (!services.router().mayServe()) {
      return Outcome.failed(
          Failure.retryLater(
              ResultCode.HOST_NOT_FRESH,
              "this host cannot confirm that its configuration is current",
              1));
    }
    Workspace workspace =
        workspaceKeys.findWorkspace(configuration, context.header("Authorization"));
    if (workspace == null) {
      return Outcome.failed(
          ResultCode.BAD_KEY,
          "the Authorization header is missing, or its bearer key belongs to no workspace");
    }
    long retryAfterMillis = services.router().acquireWorkspacePermit(workspace);
    if (retryAfterMillis > 0) {
      return Outcome.failed(
          Failure.retryLater(
              ResultCode.WORKSPACE_LIMIT,
              "workspace '"
                  + workspace.name()
                  + "' exceeded its limit of "
                  + workspace.requestsPerSecond()
                  + " requests per second",
              retryAfterMillis));
    }
    String requestedClass = context.header(CLASS_HEADER);
    String fallbackClass = defaultClass.isEmpty() ? workspace.defaultClass() : defaultClass;
    String className = requestedClass == null ? fallbackClass : requestedClass;
    ServiceClass serviceClass = configuration.classes().get(className);
    if (serviceClass == null) {
      return Outcome.failed(
          ResultCode.UNKNOWN_CLASS, "class '" + className + "' is not configured");
    }
    Outcome<IdempotencyKey> key =
        IdempotencyKey.of(
            serviceClass.repeatable() ? null : context.header(KEY_HEADER),
            context.header(ISSUED_AT_HEADER),
            services.clock().epochMillis(),
            random);
    return switch (key) {
      case Outcome.Success<IdempotencyKey> success ->
          Outcome.success(
              new AdmittedRequest(workspace, serviceClass, success.value(), arrivedAtMillis));
      case Outcome.Failed<IdempotencyKey> failed -> Outcome.failed(failed.failure());
    };
  }

  /**
   * Rejects a request that was not admitted. If it carries an Idempotency-Key, an earlier request
   * with the same key may have run.
   */
  private void reject(HttpRequestContext context, Failure failure) throws IOException {
    boolean mayBeResent = context.header(KEY_HEADER) != null;
    context.failure(mayBeResent ? IdempotencyErrors.earlierAttemptMayHaveRun(failure) : failure);
  }

  private void fail(HttpRequestContext context, AdmittedRequest admitted, Failure failure)
      throws IOException {
    services.metrics().failed(admitted.serviceClass().name(), failure.code());
    context.failure(failure);
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
