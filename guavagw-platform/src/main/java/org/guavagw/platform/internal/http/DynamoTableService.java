package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;
import org.guavagw.platform.internal.http.DynamoMessages.ErrorReply;
import org.guavagw.platform.internal.http.DynamoMessages.GetItem;
import org.guavagw.platform.internal.http.DynamoMessages.GetItemReply;
import org.guavagw.platform.internal.http.DynamoMessages.Query;
import org.guavagw.platform.internal.http.DynamoMessages.QueryReply;
import org.guavagw.platform.internal.http.DynamoMessages.Reason;
import org.guavagw.platform.internal.http.DynamoMessages.TransactWriteItems;

/**
 * Client of a table service with the DynamoDB JSON protocol, API version 2012-08-10. Each table has
 * the key attributes {@code pk} (a constant, so that ranges span the table) and {@code sk}, and the
 * attributes {@code v} (row version) and {@code d} (value). Reads are strongly consistent.
 *
 * <p>Requests are unsigned; a deployment adds a signing interceptor. Row versions increase with
 * each write. Across a delete they increase as long as the clocks of clients differ by less than
 * the time between the delete and the next write. Thread-safe; calls block.
 */
public final class DynamoTableService implements TableService {
  private static final String TARGET_PREFIX = "DynamoDB_20120810.";
  private static final MediaType JSON_TYPE = MediaType.get("application/x-amz-json-1.0");
  private static final String CANCELLED = "TransactionCanceledException";
  private static final String CONDITION_FAILED = "ConditionalCheckFailed";

  private final PlatformHttpClient client;
  private final HttpUrl url;
  private final DynamoTransactions transactions;

  /** Creates a client of the service at a URL. */
  public DynamoTableService(PlatformHttpClient client, HttpUrl url, InstantSource wallClock) {
    this.client = client;
    this.url = url;
    this.transactions = new DynamoTransactions(new InitialRowVersions(wallClock));
  }

  @Override
  public Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    GetItem body = new GetItem(key.table(), DynamoItems.key(key), true);
    return client
        .callForJson(request("GetItem", body), GetItemReply.class)
        .map(r -> Optional.ofNullable(r.item()).map(i -> DynamoItems.row(key.table(), i)));
  }

  @Override
  public Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit) {
    if (from.compareTo(to) >= 0 || limit <= 0) {
      return Either.right(List.of());
    }
    List<Row> rows = new ArrayList<>();
    Map<String, AttributeValue> start = null;
    do {
      Either<PlatformFailure, QueryReply> page = queryPage(table, from, to, limit, start);
      if (page.isLeft()) {
        return Either.left(page.getLeft());
      }
      page.get().items().forEach(i -> rows.add(DynamoItems.row(table, i)));
      start = page.get().lastKey();
    } while (start != null && rows.size() < limit);
    return Either.right(
        rows.stream().filter(r -> r.key().key().compareTo(to) < 0).limit(limit).toList());
  }

  @Override
  public Either<PlatformFailure, CommitResult> commit(Transaction transaction) {
    if (DynamoTransactions.rows(transaction).isEmpty()) {
      return Either.right(new CommitResult.Committed());
    }
    TransactWriteItems body = new TransactWriteItems(transactions.actions(transaction));
    return client.call(request("TransactWriteItems", body)).flatMap(r -> result(transaction, r));
  }

  private Either<PlatformFailure, QueryReply> queryPage(
      String table, String from, String to, int limit, Map<String, AttributeValue> start) {
    Map<String, AttributeValue> values = new HashMap<>();
    values.put(":p", AttributeValue.of(DynamoItems.PARTITION_VALUE));
    values.put(":to", AttributeValue.of(to));
    boolean hasLowerBound = !from.isEmpty();
    if (hasLowerBound) {
      values.put(":from", AttributeValue.of(from));
    }
    Query body =
        new Query(
            table,
            hasLowerBound ? "#p = :p AND #s BETWEEN :from AND :to" : "#p = :p AND #s < :to",
            Map.of("#p", DynamoItems.PARTITION, "#s", DynamoItems.SORT),
            values,
            limit,
            true,
            start);
    return client.callForJson(request("Query", body), QueryReply.class);
  }

  private Either<PlatformFailure, CommitResult> result(Transaction transaction, HttpReply reply) {
    if (reply.successful()) {
      return Either.right(new CommitResult.Committed());
    }
    if (!reply.clientError()) {
      return Either.left(PlatformHttpClient.refusal(reply));
    }
    return client
        .read(reply, ErrorReply.class)
        .fold(
            parseFailure -> Either.left(PlatformHttpClient.refusal(reply)),
            e -> refused(transaction, reply, e));
  }

  private static Either<PlatformFailure, CommitResult> refused(
      Transaction transaction, HttpReply reply, ErrorReply error) {
    if (error.type() == null || !error.type().endsWith(CANCELLED) || error.reasons() == null) {
      return Either.left(PlatformHttpClient.refusal(reply));
    }
    List<RowKey> failed = failedRows(transaction, error.reasons());
    return failed.isEmpty()
        ? Either.left(PlatformHttpClient.refusal(reply))
        : Either.right(new CommitResult.Conflict(failed));
  }

  private static List<RowKey> failedRows(Transaction transaction, List<Reason> reasons) {
    List<RowKey> rows = DynamoTransactions.rows(transaction);
    List<RowKey> failed = new ArrayList<>();
    for (int i = 0; i < Math.min(rows.size(), reasons.size()); i++) {
      if (CONDITION_FAILED.equals(reasons.get(i).code())) {
        failed.add(rows.get(i));
      }
    }
    return List.copyOf(failed);
  }

  private Request.Builder request(String operation, Object body) {
    return new Request.Builder()
        .url(url)
        .header("X-Amz-Target", TARGET_PREFIX + operation)
        .post(client.jsonBody(body, JSON_TYPE));
  }
}
