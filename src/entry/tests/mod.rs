mod events;
mod http;
mod logs;
