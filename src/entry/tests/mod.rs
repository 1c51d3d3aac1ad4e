mod events;
mod http;
mod logs;
mod request;
mod state;
