package dev.lavenderline.core.routing;

/** A dispatcher that exchanges load figures with peers, batch scheduling and the state dump. */
public interface LoadAwareDispatcher extends Dispatcher, LoadExchange {}
